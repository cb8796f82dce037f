import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {getRetryAfterMs} from '../../src/direct/index.js';

const RUNS = {numRuns: 1_000, seed: 20261204};

describe('getRetryAfterMs', () => {
  it('guards against a retry after the caller has given up or before capacity is expected', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 5_000}),
        fc.integer({min: 0, max: 10_000}),
        fc.double({min: 0, max: 0.999, noNaN: true}),
        (roomInMs, remainingMs, random) => {
          const ms = getRetryAfterMs({
            capacityInMs: roomInMs,
            remainingMs,
            random,
          });
          expect(ms).toBeLessThanOrEqual(Math.ceil(remainingMs / 3));
          const isLimited = ms >= Math.floor(remainingMs / 3);
          expect(isLimited || ms >= roomInMs).toBe(true);
        },
      ),
      RUNS,
    );
  });

  it('spreads the retries of callers that are refused together', () => {
    const times = [0, 0.25, 0.5, 0.75].map(random =>
      getRetryAfterMs({capacityInMs: 400, remainingMs: 10_000, random}),
    );
    expect(new Set(times).size).toBe(4);
  });
});
