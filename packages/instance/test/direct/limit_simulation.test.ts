import {describe, expect, it} from 'vitest';
import {findLimitExcesses} from '../../../testing/src/limits/index.js';
import {LimitSimulation} from './limit_simulation.js';

/** Time from the first statement of a limit until it must be kept, in milliseconds. */
const SETTLE_MS = 1_000;
const SEEDS = Array.from({length: 4}, (_, i) => i + 1);
const INSTANCE_COUNTS = [3, 7, 40];
const END_MS = 90_000;

/** Injects one fault. */
type InjectFault = (simulation: LimitSimulation) => void;

function pickInt({random}: LimitSimulation, max: number): number {
  return Math.floor(random() * max);
}

function pickId(simulation: LimitSimulation): string {
  const {ids} = simulation;
  return ids[pickInt(simulation, ids.length)] as string;
}

function cutHalf(simulation: LimitSimulation, durationMs: number): void {
  const ids = simulation.ids.filter(() => simulation.random() < 0.5);
  simulation.cut(ids, durationMs);
}

/** Faults that leave the limit in force, and the time until the next one, in milliseconds. */
const FAULTS: ReadonlyArray<{
  name: string;
  intervalMs: number;
  inject: InjectFault;
}> = [
  {
    name: 'planned restarts',
    intervalMs: 8_000,
    inject: sim => sim.restart(pickId(sim), 1_000 + pickInt(sim, 3_000), true),
  },
  {
    name: 'kills',
    intervalMs: 8_000,
    inject: sim => sim.restart(pickId(sim), 500 + pickInt(sim, 4_000), false),
  },
  {
    name: 'joins',
    intervalMs: 8_000,
    inject: sim => sim.join(),
  },
  {
    name: 'cuts of one instance',
    intervalMs: 20_000,
    inject: sim => sim.cut([pickId(sim)], 1_000 + pickInt(sim, 10_000)),
  },
  {
    name: 'cuts between two groups',
    intervalMs: 30_000,
    inject: sim => cutHalf(sim, 1_000 + pickInt(sim, 20_000)),
  },
  {
    name: 'changes of the limit',
    intervalMs: 8_000,
    inject: sim => sim.stateLimit(0.5 + 10 * sim.random()),
  },
];

const OTHER_FAULTS: readonly InjectFault[] = [
  sim => sim.stateLimit(undefined),
  sim => {
    for (const id of sim.ids) {
      sim.restart(id, 500 + pickInt(sim, 2_000), false);
    }
  },
];

function start(instances: number, seed: number): LimitSimulation {
  const simulation = new LimitSimulation({
    seed,
    instances,
    demandPerSecond: 60,
    loss: 0.02,
  });
  simulation.clock.runUntil(10_000);
  simulation.stateLimit(0.5 + 10 * simulation.random());
  simulation.clock.runUntil(15_000);
  return simulation;
}

describe('rate limits in simulated fleets', () => {
  it.each(FAULTS)(
    'are kept beside $name, by all instances together',
    ({intervalMs, inject}) => {
      for (const instances of INSTANCE_COUNTS) {
        for (const seed of SEEDS) {
          const simulation = start(instances, seed);
          const {clock, arrivals, limits} = simulation;
          while (clock.now() < END_MS) {
            inject(simulation);
            clock.runUntil(
              clock.now() + intervalMs + pickInt(simulation, 3_000),
            );
          }
          const times = arrivals.map(({at}) => at);
          const excesses = findLimitExcesses(times, limits, SETTLE_MS);
          expect(excesses, `${instances} instances, seed ${seed}`).toEqual([]);
        }
      }
    },
  );

  it.each(INSTANCE_COUNTS)(
    'are kept by those of %i instances that no fault hits, beside all faults at once',
    instances => {
      const faults = [...FAULTS.map(({inject}) => inject), ...OTHER_FAULTS];
      for (const seed of SEEDS) {
        const simulation = start(instances, seed);
        const {clock} = simulation;
        while (clock.now() < END_MS) {
          clock.runUntil(clock.now() + 200 + pickInt(simulation, 4_000));
          faults[pickInt(simulation, faults.length)]?.(simulation);
        }
        const {soundArrivals, limits} = simulation;
        const excesses = findLimitExcesses(soundArrivals, limits, SETTLE_MS);
        expect(excesses, `seed ${seed}`).toEqual([]);
      }
    },
  );

  it.each(INSTANCE_COUNTS)(
    'are used by %i instances to at least 3/4 without faults',
    instances => {
      const simulation = new LimitSimulation({
        seed: 1,
        instances,
        demandPerSecond: 36,
        loss: 0,
      });
      const {clock, arrivals} = simulation;
      clock.runUntil(5_000);
      simulation.stateLimit(4);
      const before = arrivals.length;
      clock.runUntil(45_000);
      expect(arrivals.length - before).toBeGreaterThan(0.75 * 4 * 40);
    },
  );
});
