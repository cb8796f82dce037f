import {setTimeout as sleep} from 'node:timers/promises';
import {type FigureSink, GoalKind} from '../figure.js';
import {DirectInstanceProcess} from './direct_instance.js';
import {writeFleet} from './write_fleet.js';

const FLEET_SIZES = [7, 36, 78];
const ENDPOINT_COUNT = 632;
/** Time after the start of a fleet until it is measured, in milliseconds. */
const SETTLE_MS = 15_000;
const IDLE_MS = 15_000;
const CHANGE_COUNT = 10;
/** Time for a change to propagate before its arrival is read, in milliseconds. */
const PROPAGATION_WAIT_MS = 2_000;
const START_BATCH_SIZE = 8;
const START_PAUSE_MS = 500;
/** Goals: cores per instance for the control plane, and the propagation time of a change. */
const CORE_SHARE_GOAL = 0.015;
const PROPAGATION_GOAL_MS = 1_000;

/**
 * Measures the control plane overhead of an instance of the direct path without callers, and how
 * fast a configuration propagates; each instance is a separate process.
 * @param sink - Receives the figures.
 */
export async function runDirectControlBench(sink: FigureSink): Promise<void> {
  for (const instances of FLEET_SIZES) await measureFleet(sink, instances);
}

async function measureFleet(
  sink: FigureSink,
  instances: number,
): Promise<void> {
  using fleet = writeFleet(instances, ENDPOINT_COUNT);
  const processes: DirectInstanceProcess[] = [];
  try {
    for (const [i, file] of fleet.files.entries()) {
      processes.push(new DirectInstanceProcess(file));
      if (i % START_BATCH_SIZE === START_BATCH_SIZE - 1)
        await sleep(START_PAUSE_MS);
    }
    await sleep(SETTLE_MS);
    await measureIdle(sink, processes);
    await measurePropagation(sink, processes, fleet.writeState);
  } finally {
    await Promise.all(processes.map(each => each[Symbol.asyncDispose]()));
  }
}

async function measureIdle(
  sink: FigureSink,
  processes: readonly DirectInstanceProcess[],
): Promise<void> {
  const n = processes.length;
  const sumCpuMs = () => processes.reduce((ms, {cpuMs}) => ms + cpuMs, 0);
  const before = sumCpuMs();
  await sleep(IDLE_MS);
  sink.record({
    name: `direct-control.core-share.${n}`,
    value: (sumCpuMs() - before) / n / IDLE_MS,
    unit: 'cores',
    n,
    goal: {kind: GoalKind.AtMost, bound: CORE_SHARE_GOAL, isRatio: false},
  });
}

async function measurePropagation(
  sink: FigureSink,
  processes: readonly DirectInstanceProcess[],
  writeState: (version: number) => void,
): Promise<void> {
  const propagationTimes: number[] = [];
  for (let version = 2; version < 2 + CHANGE_COUNT; version++) {
    const writtenAt = Date.now();
    writeState(version);
    await sleep(PROPAGATION_WAIT_MS);
    for (const each of processes) {
      const at = each.getAppliedAt(version);
      propagationTimes.push(at === undefined ? Infinity : at - writtenAt);
    }
  }
  propagationTimes.sort((a, b) => a - b);
  const n = processes.length;
  for (const quantile of [0.5, 1]) {
    sink.record({
      name: `direct-control.spread.p${100 * quantile}.${n}`,
      value:
        propagationTimes[Math.ceil(quantile * propagationTimes.length) - 1] ??
        Infinity,
      unit: 'ms from the file, which followers read each 250 ms',
      n: propagationTimes.length,
      goal: {kind: GoalKind.AtMost, bound: PROPAGATION_GOAL_MS, isRatio: false},
    });
  }
}
