import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  ColdRateLimiter,
  getColdRateLimit,
  getConnectionQuota,
  SharedRetryBudget,
  WeightedSplitter,
} from '../../src/direct/index.js';

const RUNS = {numRuns: 1_000, seed: 20261204};

function count(times: number[], end: number, windowMs: number): number {
  return times.filter(at => at <= end && at > end - windowMs).length;
}

describe('getColdRateLimit', () => {
  it('stays within the limit over all instances', () => {
    fc.assert(
      fc.property(
        fc.double({min: 1, max: 60, noNaN: true}),
        fc.integer({min: 1, max: 300}),
        (perSecond, instances) => {
          let sum = 0;
          for (let rank = 0; rank < instances; rank++) {
            sum += getColdRateLimit(
              {perSecond},
              {instances, getRank: () => rank},
            );
          }
          expect(sum).toBeLessThanOrEqual(perSecond);
          expect(sum).toBeGreaterThan(0);
        },
      ),
      RUNS,
    );
  });
});

describe('limits while the number of instances is unknown', () => {
  it('grant no fixed share (guards against many restarted instances that each use the whole limit)', () => {
    const sharing = {instances: Infinity, getRank: () => 0};
    expect(getColdRateLimit({perSecond: 60}, sharing)).toBe(0);
    const bounds = {ratio: 0.5, slack: 100, windowMs: 1_000};
    const budget = new SharedRetryBudget(bounds);
    expect(budget.tryAcquire(0, Infinity)).toBe(false);
    for (let i = 0; i < 10; i++) budget.countRequest(0);
    expect(budget.tryAcquire(0, Infinity)).toBe(true);
  });
});

describe('getConnectionQuota', () => {
  it('stays within the limit of an endpoint that accepts one connection per instance', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 2_000}),
        fc.integer({min: 1, max: 300}),
        (maxConnections, instances) => {
          const quota = getConnectionQuota(maxConnections, instances);
          expect(quota).toBeGreaterThanOrEqual(1);
          const bound = Math.max(maxConnections, instances);
          expect(quota * instances).toBeLessThanOrEqual(bound);
        },
      ),
      RUNS,
    );
    expect(getConnectionQuota(0, 7)).toBe(Infinity);
  });

  it('leaves several connections while the number of instances is unknown (guards against refusals after a start)', () => {
    expect(getConnectionQuota(330, Infinity)).toBe(5);
    expect(getConnectionQuota(20, Infinity)).toBe(1);
  });
});

describe('ColdRateLimiter', () => {
  it('permits no more requests than the limit in any second', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: 400}), {maxLength: 60}),
        fc.integer({min: 1, max: 5}),
        (gaps, limit) => {
          const limiter = new ColdRateLimiter();
          const sent: number[] = [];
          let now = 0;
          for (const gap of gaps) {
            now += gap;
            if (limiter.tryAcquire(now, limit)) sent.push(now);
          }
          for (const at of sent) {
            const inSecond = sent.filter(
              other => other >= at && other < at + 1_000,
            );
            expect(inSecond.length).toBeLessThanOrEqual(limit);
          }
        },
      ),
      RUNS,
    );
  });
});

describe('SharedRetryBudget', () => {
  it('stays within the limit of every window over all instances', () => {
    const bounds = {ratio: 0.2, slack: 64, windowMs: 10_000};
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            instance: fc.integer({min: 0, max: 6}),
            gapMs: fc.integer({min: 0, max: 300}),
            retries: fc.integer({min: 0, max: 4}),
          }),
          {maxLength: 200},
        ),
        requests => {
          const budgets = Array.from(
            {length: 7},
            () => new SharedRetryBudget(bounds),
          );
          const requestTimes: number[] = [];
          const retryTimes: number[] = [];
          let now = 0;
          for (const {instance, gapMs, retries} of requests) {
            now += gapMs;
            requestTimes.push(now);
            budgets[instance]?.countRequest(now);
            for (let i = 0; i < retries; i++) {
              if (budgets[instance]?.tryAcquire(now, 7)) retryTimes.push(now);
            }
          }
          for (const end of retryTimes) {
            const {windowMs} = bounds;
            // The ratio may apply to the requests of the same window as the retries, of the previous
            // one, or of the one that ends half a window earlier.
            const counts = [0, windowMs / 2, windowMs].map(shift =>
              count(requestTimes, end - shift, windowMs),
            );
            const allowed = bounds.ratio * Math.max(...counts) + bounds.slack;
            expect(count(retryTimes, end, windowMs)).toBeLessThanOrEqual(
              allowed,
            );
          }
        },
      ),
      RUNS,
    );
  });

  it('grants fewer retries if more instances share the slack', () => {
    const count = (instances: number) => {
      const budget = new SharedRetryBudget({
        ratio: 0,
        slack: 70,
        windowMs: 10_000,
      });
      let granted = 0;
      while (budget.tryAcquire(0, instances)) granted++;
      return granted;
    };
    expect(count(1)).toBe(56);
    expect(count(7)).toBe(8);
  });
});

describe('WeightedSplitter', () => {
  it('keeps the shares close to the weights even for few objects', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 99}),
        fc.array(fc.double({min: 0, max: 0.999, noNaN: true}), {
          minLength: 3,
          maxLength: 20,
        }),
        (weight, objects) => {
          const split = new WeightedSplitter([
            {service: 'first', weight},
            {service: 'second', weight: 100 - weight},
          ]);
          let first = 0;
          for (let i = 0; i < 400; i++) {
            const object = objects[i % objects.length] ?? 0;
            if (split.choose(object) === 'first') first++;
          }
          expect(Math.abs(first / 400 - weight / 100)).toBeLessThan(0.1);
        },
      ),
      RUNS,
    );
  });

  it('sends nothing to a target of weight 0', () => {
    const split = new WeightedSplitter([
      {service: 'none', weight: 0},
      {service: 'all', weight: 1},
    ]);
    for (let i = 0; i < 100; i++) expect(split.choose(i / 100)).toBe('all');
  });
});
