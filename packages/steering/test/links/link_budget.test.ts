import {Priority} from '@primrosestage/common';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {LinkBudget, LinkUse} from '../../src/index.js';

const CAP_MBIT = 100;
const MEMBERS = 3;
/** Burst allowed beyond the rate, in bits: 100 ms of the cap, or one chunk per bucket. */
const BURST_BITS = Math.max(CAP_MBIT * 1e5, 2 * MEMBERS * 64 * 1024 * 8);

const TAKE = fc.record({
  elapsedMs: fc.integer({min: 0, max: 300}),
  bits: fc.integer({min: 1, max: 100_000_000}),
  priority: fc.constantFrom(Priority.Urgent, Priority.Normal, Priority.Bulk),
  capMbit: fc.integer({min: 1, max: CAP_MBIT}),
  isChanged: fc.nat({max: 9}).map(n => n === 0),
});

describe('LinkBudget', () => {
  it('guards against instances that together exceed the cap of a link direction', () => {
    fc.assert(
      fc.property(fc.array(TAKE, {maxLength: 30}), takes => {
        let nowMs = 0;
        // Requests of one region and responses to the other share the direction.
        const budgets = Object.values(LinkUse).flatMap(use =>
          Array.from({length: MEMBERS}, () => ({
            use,
            budget: new LinkBudget(
              {capMbit: CAP_MBIT, members: MEMBERS, use},
              nowMs,
            ),
          })),
        );
        const grants: {atMs: number; bits: number}[] = [];
        for (const {elapsedMs, bits, priority, capMbit, isChanged} of takes) {
          nowMs += elapsedMs;
          for (const {budget, use} of budgets) {
            const options = {capMbit, members: MEMBERS, use};
            if (isChanged) budget.configure(options, nowMs);
            const granted = budget.takeBits(bits, priority, nowMs);
            grants.push({atMs: nowMs, bits: granted});
          }
          for (const {atMs} of grants.filter((_, i) => i % 6 === 0)) {
            const sum = grants
              .filter(grant => grant.atMs >= atMs)
              .reduce((total, grant) => total + grant.bits, 0);
            const allowed = CAP_MBIT * 1e3 * (nowMs - atMs) + BURST_BITS;
            expect(sum).toBeLessThanOrEqual(allowed + 1);
          }
        }
      }),
      {seed: 4601, numRuns: 200},
    );
  });

  it('guards against bulk requests that use the reserve for other priorities', () => {
    const options = {capMbit: 1000, members: 1, use: LinkUse.Response};
    const budget = new LinkBudget(options, 0);
    const bulk = budget.takeBits(1e12, Priority.Bulk, 0);
    const urgent = budget.takeBits(1e12, Priority.Urgent, 0);
    expect(urgent / (bulk + urgent)).toBeCloseTo(0.3, 6);
    expect(budget.hasCapacity(Priority.Bulk, 10)).toBe(false);
    expect(budget.hasCapacity(Priority.Urgent, 10)).toBe(true);
  });

  it('guards against a wait that ends before the bits are available', () => {
    const options = {capMbit: 1000, members: 1, use: LinkUse.Response};
    const budget = new LinkBudget(options, 0);
    budget.takeBits(1e12, Priority.Urgent, 0);
    const waitMs = budget.getWaitMs(1e6, Priority.Urgent, 0);
    expect(waitMs).toBeGreaterThan(0);
    expect(budget.takeBits(1e6, Priority.Urgent, waitMs)).toBeCloseTo(1e6, 3);
  });
});
