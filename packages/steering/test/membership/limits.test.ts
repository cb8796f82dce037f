import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  applySchedule,
  SCHEDULE,
  type ScheduledDisturbance,
} from './schedule.js';
import {createEndpoint, createInstanceInfo, Simulation} from './simulation.js';

const SEED = Number(process.env.SEED ?? 20_261);
const RUNS = Number(process.env.RUNS ?? 150);
const RUN_MS = 130_000;

function createSimulation(seed: number, count: number, maxDelayMs = 60) {
  const region = 'r';
  return new Simulation({
    seed,
    maxDelayMs,
    members: Array.from({length: count}, (_, i) =>
      createInstanceInfo(`n${i}`, i < 2 ? 'a' : 'b', region),
    ),
    endpoints: [
      createEndpoint('e1', 'a', region, 3),
      createEndpoint('e2', 'a', region, 4),
      createEndpoint('e3', 'b', region, 3),
      createEndpoint('e4', 'b', region, 1),
      createEndpoint('e5', 'a', region, 5),
    ],
  });
}

function getSum(simulation: Simulation, endpointId: string): number {
  let sum = 0;
  for (const process of simulation.processes.values()) {
    sum += simulation.limit(process, endpointId);
  }
  return sum;
}

function runSchedule(
  seed: number,
  count: number,
  maxDelayMs: number,
  schedule: ScheduledDisturbance[],
): void {
  const simulation = createSimulation(seed, count, maxDelayMs);
  const {members, endpoints} = simulation.options;
  simulation.onStep = () => {
    for (const {id, slots} of endpoints) {
      if (getSum(simulation, id) <= slots) continue;
      const limits = [...simulation.processes.values()].map(
        p => `${p.id}=${simulation.limit(p, id)}`,
      );
      throw new RangeError(
        `${Math.round(simulation.now)} ${id} of ${slots} slots: ${limits.join(' ')}\n` +
          simulation.trace.slice(-40).join('\n'),
      );
    }
  };
  for (const info of members) {
    simulation.schedule(simulation.random() * 3_000, () =>
      simulation.start(info),
    );
  }
  simulation.runUntil(3_001);
  applySchedule(
    simulation,
    schedule.map(s => ({...s, atMs: s.atMs + 3_001})),
  );
  simulation.runUntil(RUN_MS);
}

describe('limits of all instances for an endpoint', () => {
  // Guards against two instances that admit more requests than an endpoint has slots.
  it('never exceed its slots under cuts, pauses, restarts, joins and lagging lists', () => {
    fc.assert(
      fc.property(
        fc.nat({max: 1e6}),
        fc.integer({min: 2, max: 4}),
        fc.constantFrom(60, 3_000),
        SCHEDULE,
        runSchedule,
      ),
      {seed: SEED, numRuns: RUNS, endOnFailure: true},
    );
  }, 600_000);

  it('reach all slots when every instance is up', () => {
    const simulation = createSimulation(1, 4);
    for (const info of simulation.options.members) simulation.start(info);
    simulation.runUntil(40_000);
    for (const {id, slots} of simulation.options.endpoints) {
      expect(getSum(simulation, id)).toBe(slots);
    }
  });
});
