import fc from 'fast-check';
import {createInstanceInfo, PLATFORM, Simulation} from './simulation.js';

/** Fault of a schedule; `from`, `to` and `target` are member indexes. */
export type Fault =
  | {kind: 'cut'; from: number; to: number; isOneWay: boolean}
  | {kind: 'isolate'; target: number; withPlatform: boolean}
  | {kind: 'platform-cut'; target: number}
  | {kind: 'store-outage'}
  | {kind: 'pause'; target: number}
  | {
      kind: 'crash';
      target: number;
      restartAfterMs: number;
      removedAfterMs: number;
    }
  | {kind: 'stop'; target: number; restartAfterMs: number}
  | {kind: 'join'; target: number};

export interface ScheduledFault {
  atMs: number;
  durationMs: number;
  fault: Fault;
}

const target = fc.nat({max: 3});
const restartAfterMs = fc.integer({min: 200, max: 40_000});

/** Generates faults of up to four instances that start within 90 s. */
export const FAULT_SCHEDULE: fc.Arbitrary<ScheduledFault[]> = fc.array(
  fc.record({
    atMs: fc.integer({min: 0, max: 90_000}),
    durationMs: fc.integer({min: 500, max: 60_000}),
    fault: fc.oneof(
      fc.record({
        kind: fc.constant('cut' as const),
        from: target,
        to: target,
        isOneWay: fc.boolean(),
      }),
      fc.record({
        kind: fc.constant('isolate' as const),
        target,
        withPlatform: fc.boolean(),
      }),
      fc.record({kind: fc.constant('platform-cut' as const), target}),
      fc.record({kind: fc.constant('store-outage' as const)}),
      fc.record({kind: fc.constant('pause' as const), target}),
      fc.record({
        kind: fc.constant('crash' as const),
        target,
        restartAfterMs,
        removedAfterMs: fc.nat({max: 20_000}),
      }),
      fc.record({kind: fc.constant('stop' as const), target, restartAfterMs}),
      fc.record({kind: fc.constant('join' as const), target}),
    ),
  }),
  {minLength: 1, maxLength: 12},
);

/**
 * Schedules faults on a simulation.
 * @param simulation - The simulation, whose members the targets index.
 * @param schedule - The faults.
 */
export function applyFaults(
  simulation: Simulation,
  schedule: readonly ScheduledFault[],
): void {
  const {members} = simulation.options;
  const ids = () => [...simulation.processes.keys()];
  const getId = (index: number) => members[index % members.length]!.id;
  const cut = (from: string, to: string, untilMs: number) =>
    simulation.cuts.push({from, to, fromMs: simulation.now, untilMs});
  const restart = (id: string, afterMs: number) =>
    simulation.schedule(simulation.now + afterMs, () => {
      const old = simulation.processes.get(id)!;
      if (old.isEnded) simulation.start(old.config.self);
      else restart(id, 1_000);
    });
  for (const {atMs, durationMs, fault} of schedule) {
    simulation.schedule(atMs, () => {
      const untilMs = simulation.now + durationMs;
      simulation.log(`${JSON.stringify(fault)} for ${durationMs} ms`);
      switch (fault.kind) {
        case 'cut':
          cut(getId(fault.from), getId(fault.to), untilMs);
          if (!fault.isOneWay) cut(getId(fault.to), getId(fault.from), untilMs);
          break;
        case 'isolate':
          for (const id of ids()) {
            cut(id, getId(fault.target), untilMs);
            cut(getId(fault.target), id, untilMs);
          }
          if (fault.withPlatform) cut(getId(fault.target), PLATFORM, untilMs);
          break;
        case 'platform-cut':
          cut(getId(fault.target), PLATFORM, untilMs);
          break;
        case 'store-outage':
          for (const id of ids()) cut(id, PLATFORM, untilMs);
          break;
        case 'pause': {
          const process = simulation.processes.get(getId(fault.target))!;
          if (!process.isEnded) simulation.pause(process, durationMs);
          break;
        }
        case 'crash': {
          const process = simulation.processes.get(getId(fault.target))!;
          if (process.isEnded) break;
          simulation.end(process, fault.removedAfterMs);
          restart(process.id, fault.restartAfterMs);
          break;
        }
        case 'stop': {
          const process = simulation.processes.get(getId(fault.target))!;
          if (process.isEnded) break;
          simulation.stop(process);
          restart(process.id, fault.restartAfterMs);
          break;
        }
        case 'join': {
          const id = `joiner-${fault.target}`;
          if (simulation.processes.has(id)) break;
          const {zone, region} = members[0]!;
          simulation.start(createInstanceInfo(id, zone, region), {
            isInSettings: false,
          });
          break;
        }
      }
    });
  }
}
