import {setTimeout as sleep} from 'node:timers/promises';
import {type FigureSink, GoalKind} from '../figure.js';
import {writeBenchSettings} from '../process/bench_settings.js';
import {type BenchChild, startChild} from '../process/child_process.js';
import {ChildRole} from '../process/child_roles.js';

const ZONES = ['north-a', 'north-b', 'east-a', 'east-b', 'west-a', 'west-b'];

/** Time in which instances find each other before the measurement, in milliseconds. */
const SETTLE_MS = 3_000;
const DURATION_MS = 10_000;
const MIB = 1024 * 1024;

/** Budget of the control plane per node, in parts of a core. */
const CORE_BUDGET = 0.023;

/**
 * Measures processor time and memory of instances without requests.
 * @param sink - Takes the figures.
 * @param count - Number of instances, one process each.
 */
export async function measureIdleInstances(
  sink: FigureSink,
  count: number,
): Promise<void> {
  using settings = writeBenchSettings({
    instanceZones: Array.from(
      {length: count},
      (_, i) => ZONES[i % ZONES.length] ?? '',
    ),
    endpointZone: 'north-a',
    slots: 4,
  });
  const children: BenchChild[] = [];
  try {
    for (const file of settings.files) {
      children.push(
        await startChild({role: ChildRole.Instance, settings: file}),
      );
    }
    await sleep(SETTLE_MS);
    const before = await Promise.all(children.map(c => c.getUsage()));
    await sleep(DURATION_MS);
    const after = await Promise.all(children.map(c => c.getUsage()));
    const shares = after.map(
      ({cpuMs}, i) => (cpuMs - (before[i]?.cpuMs ?? 0)) / DURATION_MS,
    );
    const mean = (values: readonly number[]) =>
      values.reduce((sum, value) => sum + value, 0) / values.length;
    sink.record({
      name: `control.idle.core-share.${count}`,
      value: mean(shares),
      unit: 'cores',
      n: count,
      goal: {kind: GoalKind.AtMost, bound: CORE_BUDGET, isRatio: false},
    });
    sink.record({
      name: `control.idle.heap.${count}`,
      value: mean(after.map(({heapBytes}) => heapBytes)) / MIB,
      unit: 'MiB',
      n: count,
    });
  } finally {
    await Promise.all(children.map(child => child[Symbol.asyncDispose]()));
  }
}
