import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PreferenceLimiter} from '../../src/direct/index.js';

const RUNS = {numRuns: 1_000, seed: 20261204};
const CAP = {shiftCap: 0.15, shiftIntervalMs: 2_000};

function getShare(preference: number, slots: {own: number; other: number}) {
  return (preference * slots.own) / (preference * slots.own + slots.other);
}

describe('PreferenceLimiter', () => {
  it('guards against a change of demand that moves more than the cap in any window', () => {
    fc.assert(
      fc.property(
        fc.record({
          own: fc.integer({min: 1, max: 100}),
          other: fc.integer({min: 1, max: 400}),
        }),
        fc.array(
          fc.record({
            target: fc.double({min: 1, max: 1_000, noNaN: true}),
            afterMs: fc.integer({min: 1, max: 3_000}),
          }),
          {minLength: 2, maxLength: 30},
        ),
        (slots, changes) => {
          const limiter = new PreferenceLimiter(CAP, 0);
          const moves: Array<{at: number; share: number}> = [];
          let now = 0;
          for (const {target, afterMs} of changes) {
            now += afterMs;
            const share = getShare(
              limiter.moveTowards(target, slots, now),
              slots,
            );
            moves.push({at: now, share});
          }
          for (const [i, first] of moves.entries()) {
            const laterMoves = moves.slice(i + 1);
            for (const later of laterMoves) {
              if (later.at - first.at > CAP.shiftIntervalMs) break;
              const shift = Math.abs(later.share - first.share);
              expect(shift).toBeLessThanOrEqual(CAP.shiftCap + 1e-9);
            }
          }
        },
      ),
      RUNS,
    );
  });

  it('reaches its target and stays there', () => {
    const limiter = new PreferenceLimiter(CAP, 0);
    const slots = {own: 8, other: 88};
    limiter.moveTowards(1_000, slots, 0);
    const moved = limiter.moveTowards(4.5, slots, 500);
    expect(moved).toBeGreaterThan(4.5);
    let preference = moved;
    for (let now = 1_000; now <= 40_000; now += 500) {
      preference = limiter.moveTowards(4.5, slots, now);
    }
    expect(preference).toBe(4.5);
  });

  it('guards against requests that stay at a region that has lost endpoints', () => {
    const limiter = new PreferenceLimiter(CAP, 0);
    limiter.moveTowards(1_000, {own: 48, other: 48}, 0);
    expect(limiter.moveTowards(2, {own: 24, other: 48}, 500)).toBe(2);
  });
});
