import {getQuotaBound, hash32} from '@primrosestage/steering';
import {describe, expect, it} from 'vitest';
import {
  QuotaSimulation,
  type QuotaSimulationOptions,
} from './quota_simulation.js';

const TOLERANCE = {windowMs: 5_000, overshoot: 0.1, slack: 20};
const WARM_UP_MS = 5_000;
const DISTRIBUTIONS: Record<string, (index: number, count: number) => number> =
  {
    even: (_, count) => 1 / count,
    skewed: (index, count) => {
      const weights = Array.from({length: count}, (_, i) => (i + 1) ** -1.5);
      return (weights[index] ?? 0) / weights.reduce((a, b) => a + b, 0);
    },
    single: index => (index === 1 ? 1 : 0),
  };
/** Number of instances, rate, burst and time that is measured, in milliseconds. */
const CALM_CASES: ReadonlyArray<[number, number, number, number]> = [
  [3, 2, 0, 60_000],
  [3, 700, 0, 8_000],
  [31, 2, 2, 60_000],
  [31, 20, 0, 20_000],
  [31, 150, 150, 10_000],
  [140, 2, 0, 20_000],
  [140, 150, 0, 6_000],
  [140, 700, 700, 3_000],
];

function createSimulation(changes: Partial<QuotaSimulationOptions>) {
  return new QuotaSimulation({
    seed: 1,
    instances: 3,
    ratePerSecond: 20,
    burst: 0,
    tolerance: TOLERANCE,
    loss: 0,
    remoteMs: 55,
    getDemand: () => 0,
    ...changes,
  });
}

/** Runs for some time and returns what became of the requests in it. */
function measure(sim: QuotaSimulation, durationMs: number) {
  const before = {...sim.counts};
  sim.clock.runUntil(sim.clock.now() + durationMs);
  const granted = sim.counts.granted - before.granted;
  return {
    granted,
    denied: sim.counts.denied - before.denied,
    perSecond: granted / (durationMs / 1_000),
  };
}

describe('quotas in calm conditions', () => {
  const cases = CALM_CASES.flatMap(each =>
    Object.keys(DISTRIBUTIONS).map(name => [...each, name] as const),
  );

  it.each(cases)(
    'guard against unused rate: %d instances, %d/s, burst %d, %d ms, %s demand',
    (instances, ratePerSecond, burst, calmMs, distribution) => {
      const getPart = DISTRIBUTIONS[distribution] ?? (() => 0);
      const sim = createSimulation({
        seed: instances + ratePerSecond,
        instances,
        ratePerSecond,
        burst,
        getDemand: index => 1.4 * ratePerSecond * getPart(index, instances),
      });
      sim.clock.runUntil(WARM_UP_MS);
      const {perSecond} = measure(sim, calmMs);
      expect(perSecond).toBeGreaterThanOrEqual(0.9 * ratePerSecond);
      const bound = getQuotaBound({ratePerSecond, burst}, TOLERANCE);
      expect(sim.findMaxInWindow()).toBeLessThanOrEqual(bound);
    },
  );

  it.each([
    [3, 150],
    [31, 150],
    [140, 20],
  ])(
    'guard against refusals within the quota: %d instances, %d/s',
    (instances, ratePerSecond) => {
      const sim = createSimulation({
        instances,
        ratePerSecond,
        getDemand: () => (0.7 * ratePerSecond) / instances,
      });
      sim.clock.runUntil(WARM_UP_MS);
      const {granted, denied} = measure(sim, 20_000);
      expect(denied / (granted + denied)).toBeLessThan(0.01);
    },
  );
});

describe('quotas under faults', () => {
  const seeds = Array.from({length: 32}, (_, i) => i + 1);

  it.each(seeds)(
    'guard against a number of requests above the bound: seed %d',
    seed => {
      const instances = [2, 3, 7, 31][(seed >> 1) % 4] as number;
      const ratePerSecond = [2, 20, 150, 700][(seed >> 3) % 4] as number;
      const burst = seed % 3 === 0 ? ratePerSecond : 0;
      const sim = createSimulation({
        seed,
        instances,
        ratePerSecond,
        burst,
        loss: 0.1,
        remoteMs: seed % 5 === 0 ? 200 : 55,
        getDemand: (index, now) => {
          // Half of the seeds have demand for more than the share of each instance all the time.
          if (seed % 2 === 0) return (ratePerSecond * 3) / instances;
          // The others have pauses in which credit is saved up, then demand at other instances.
          const period = Math.floor(now / 2_500);
          const isHot = hash32(`${seed} ${index} ${period}`) % 3 === 0;
          return isHot ? ratePerSecond * Math.min(2, 12 / instances) : 0;
        },
      });
      const pick = (max: number) => Math.floor(sim.random() * max);
      const faults = [
        () => sim.kill(pick(instances), 200 + pick(4_000)),
        () => sim.freeze(pick(instances), 100 + pick(6_000)),
        () => sim.cut([pick(instances)], 500 + pick(8_000)),
        () => {
          const all = sim.instances.map((_, index) => index);
          const half = all.filter(() => sim.random() < 0.5);
          sim.cut(half, 500 + pick(8_000));
        },
        () => {
          if (sim.instances.length < instances + 3) sim.join();
        },
      ];
      for (let at = WARM_UP_MS; at < 60_000; at += 500 + pick(4_000)) {
        sim.clock.at(at, () => faults[pick(faults.length)]?.());
      }
      sim.clock.runUntil(60_000);
      const bound = getQuotaBound({ratePerSecond, burst}, TOLERANCE);
      expect(sim.counts.granted).toBeGreaterThan(0);
      expect(sim.findMaxInWindow()).toBeLessThanOrEqual(bound);
    },
  );

  it.each([
    ['dies', 3],
    ['dies', 31],
    ['is cut off', 7],
  ])(
    'guard against accounts without service when the coordinator %s: %d instances',
    (fault, instances) => {
      const ratePerSecond = 150;
      const sim = createSimulation({
        instances,
        ratePerSecond,
        getDemand: () => (2 * ratePerSecond) / instances,
      });
      sim.clock.runUntil(10_000);
      const coordinator = sim.findCoordinator(0);
      if (fault === 'dies') sim.kill(coordinator, Infinity);
      else sim.cut([coordinator], 60_000);
      sim.clock.runUntil(11_600);
      const rest = (ratePerSecond * (instances - 1)) / instances;
      // Fixed shares until the next coordinator replies.
      expect(measure(sim, 1_300).perSecond).toBeGreaterThan(0.3 * rest);
      sim.clock.runUntil(17_000);
      expect(measure(sim, 10_000).perSecond).toBeGreaterThan(0.9 * rest);
      const bound = getQuotaBound({ratePerSecond, burst: 0}, TOLERANCE);
      expect(sim.findMaxInWindow()).toBeLessThanOrEqual(bound);
    },
  );

  it('guard against a lowered rate that takes effect late', () => {
    const sim = createSimulation({
      instances: 7,
      ratePerSecond: 700,
      getDemand: () => 200,
    });
    sim.clock.runUntil(10_000);
    sim.setRate(20);
    // Requests that were admitted before may arrive within this time.
    sim.clock.runUntil(10_100);
    sim.arrivals.length = 0;
    sim.clock.runUntil(30_000);
    const bound = getQuotaBound({ratePerSecond: 20, burst: 0}, TOLERANCE);
    expect(sim.findMaxInWindow()).toBeLessThanOrEqual(bound);
  });
});
