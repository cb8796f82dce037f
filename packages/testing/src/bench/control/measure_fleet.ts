import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {build, type Histogram} from 'hdr-histogram-js';
import type {StoreServer} from '../../store/index.js';
import {type FigureSink, GoalKind} from '../figure.js';
import {
  type BenchSettings,
  BENCH_TOKEN,
  writeBenchSettings,
} from '../process/bench_settings.js';
import {type BenchChild, startChild} from '../process/child_process.js';
import {ChildRole} from '../process/child_roles.js';
import {startBenchStore} from '../process/start_bench_store.js';
import {waitUntilReady} from '../process/wait_until_ready.js';

const DURATION_MS = 10_000;
const CHANGE_COUNT = 20;
/** Time for a change to propagate before its arrival is read, in milliseconds. */
const PROPAGATION_WAIT_MS = 1_500;
const START_BATCH_SIZE = 8;
const MIB = 1024 * 1024;

/** Control plane budgets per node, and the goal for the propagation of a change. */
const CORE_BUDGET = 0.023;
const MEMORY_BUDGET_MIB = 64;
const BYTES_PER_SECOND_BUDGET = 12 * 1024;
const PROPAGATION_GOAL_MS = 1_000;

/** Describes the fleet to measure. */
export interface FleetOptions {
  instances: number;
  zones: readonly string[];
}

/**
 * Measures processor time, memory, network bytes, store calls and the propagation of changes in a
 * fleet without requests, one process per instance.
 * @param sink - Receives the figures.
 * @param options - Number of instances and their zones.
 */
export async function measureFleet(
  sink: FigureSink,
  options: FleetOptions,
): Promise<void> {
  const {instances, zones} = options;
  using settings = writeBenchSettings({
    instanceZones: Array.from(
      {length: instances},
      (_, i) => zones[i % zones.length] ?? '',
    ),
    endpointZone: zones[0] ?? '',
    slots: 4,
  });
  await using store = await startBenchStore(settings.files[0] ?? '');
  const children: BenchChild[] = [];
  try {
    for (let i = 0; i < instances; i += START_BATCH_SIZE) {
      const files = settings.files.slice(i, i + START_BATCH_SIZE);
      children.push(
        ...(await Promise.all(
          files.map(file =>
            startChild({role: ChildRole.Instance, settings: file}),
          ),
        )),
      );
    }
    await waitUntilReady(settings.publicAddresses);
    await sleep(DURATION_MS);
    await measureIdle(sink, children, store);
    await measurePropagation(sink, settings, store);
  } finally {
    await Promise.all(children.map(child => child[Symbol.asyncDispose]()));
  }
}

async function measureIdle(
  sink: FigureSink,
  children: readonly BenchChild[],
  store: StoreServer,
): Promise<void> {
  const n = children.length;
  const before = await Promise.all(children.map(c => c.getUsage()));
  const bytesBefore = getLoopbackBytesSent();
  const callsBefore = countStoreCalls(store);
  await sleep(DURATION_MS);
  const bytes = getLoopbackBytesSent() - bytesBefore;
  const calls = countStoreCalls(store) - callsBefore;
  const after = await Promise.all(children.map(c => c.getUsage()));
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / n;
  const cores = mean(
    after.map(({cpuMs}, i) => (cpuMs - (before[i]?.cpuMs ?? 0)) / DURATION_MS),
  );
  const heapMib = mean(after.map(({heapBytes}) => heapBytes)) / MIB;
  const bytesPerSecond = bytes / n / (DURATION_MS / 1_000);
  const createGoal = (bound: number) => ({
    goal: {kind: GoalKind.AtMost, bound, isRatio: false},
  });
  sink.record({
    name: `control.fleet.core-share.${n}`,
    value: cores,
    unit: 'cores',
    n,
    ...createGoal(CORE_BUDGET),
  });
  sink.record({
    name: `control.fleet.heap.${n}`,
    value: heapMib,
    unit: 'MiB',
    n,
    ...createGoal(MEMORY_BUDGET_MIB),
  });
  sink.record({
    name: `control.fleet.rss.${n}`,
    value: mean(after.map(({rssBytes}) => rssBytes)) / MIB,
    unit: 'MiB',
    n,
  });
  // Packets that all processes sent, including headers, as counted by the loopback device.
  sink.record({
    name: `control.fleet.bytes-sent.${n}`,
    value: bytesPerSecond,
    unit: 'B/s',
    n,
    ...createGoal(BYTES_PER_SECOND_BUDGET),
  });
  sink.record({
    name: `control.fleet.store-calls-idle.${n}`,
    value: calls / (DURATION_MS / 1_000),
    unit: '1/s',
    n,
  });
}

async function measurePropagation(
  sink: FigureSink,
  settings: BenchSettings,
  store: StoreServer,
): Promise<void> {
  const n = settings.adminAddresses.length;
  const propagationTimes = build();
  const callsBefore = countStoreCalls(store);
  for (let i = 0; i < CHANGE_COUNT; i++)
    await propagateChange(settings, i, propagationTimes);
  const calls = countStoreCalls(store) - callsBefore;
  for (const percentile of [50, 99, 100]) {
    sink.record({
      name: `control.fleet.spread.p${percentile}.${n}`,
      value: propagationTimes.getValueAtPercentile(percentile),
      unit: 'ms',
      n: propagationTimes.totalCount,
      goal: {kind: GoalKind.AtMost, bound: PROPAGATION_GOAL_MS, isRatio: false},
    });
  }
  sink.record({
    name: `control.fleet.store-calls-per-change.${n}`,
    value: calls / CHANGE_COUNT,
    unit: 'calls, idle ones of 1.5 s included',
    n: CHANGE_COUNT,
  });
}

/** Makes a change at one instance and records how long it took to apply at each instance. */
async function propagateChange(
  settings: BenchSettings,
  number: number,
  propagationTimes: Histogram,
): Promise<void> {
  const admin =
    settings.adminAddresses[number % settings.adminAddresses.length];
  const url = `http://${admin}/admin/v1/teams/team`;
  const headers = {
    authorization: `Bearer ${BENCH_TOKEN}`,
    'content-type': 'application/json',
  };
  const sentAt = performance.now();
  const res = await fetch(`${url}/active`, {
    method: 'POST',
    headers,
    body: JSON.stringify({
      basedOn: number + 1,
      changeId: `bench-${number}`,
      name: 'day',
    }),
  });
  if (res.status !== 200) {
    process.stderr.write(
      `change ${number}: ${res.status} ${await res.text()}\n`,
    );
    return;
  }
  await sleep(PROPAGATION_WAIT_MS);
  for (const address of settings.adminAddresses) {
    const metrics = await (await fetch(`http://${address}/metrics`)).text();
    const readAt = performance.now();
    const getValue = (name: string) =>
      Number(new RegExp(`^${name}\\{[^}]*\\} (\\S+)$`, 'm').exec(metrics)?.[1]);
    const revision = getValue('primrose_configuration_revision');
    const ageMs = getValue('primrose_configuration_age_seconds') * 1_000;
    const tookMs =
      revision === number + 2
        ? readAt - ageMs - sentAt
        : PROPAGATION_WAIT_MS * 10;
    propagationTimes.recordValue(Math.max(1, Math.round(tookMs)));
  }
}

function countStoreCalls(store: StoreServer): number {
  return Object.values(store.callCounts).reduce((sum, count) => sum + count, 0);
}

/** Reads the number of bytes that the loopback device has sent so far. */
function getLoopbackBytesSent(): number {
  const line = readFileSync('/proc/net/dev', 'utf8')
    .split('\n')
    .find(text => text.trim().startsWith('lo:'));
  return Number(line?.trim().split(/\s+/)[9] ?? 0);
}
