import {type FigureSink, GoalKind} from '../figure.js';
import {BENCH_ADDRESS, writeBenchSettings} from '../process/bench_settings.js';
import {startChild} from '../process/child_process.js';
import {ChildRole} from '../process/child_roles.js';
import {runRawLoad} from '../process/raw_client.js';

const CONNECTIONS = 32;
const DURATION_MS = 3_000;
const ROUNDS = 3;
const PATH = '/v1/lookup?team=team&service=search';

/**
 * Measures lookups over HTTP at an instance, compared with a fixed response of the same size.
 * @param sink - Receives the figures.
 */
export async function measureHttp(sink: FigureSink): Promise<void> {
  using settings = writeBenchSettings({
    instanceZones: [
      'north-a',
      'north-b',
      'east-a',
      'east-b',
      'west-a',
      'west-b',
      'north-a',
    ],
    endpointZone: 'north-a',
    slots: 4,
  });
  const [address = ''] = settings.publicAddresses;
  await using instance = await startChild({
    role: ChildRole.Instance,
    settings: settings.files[0],
  });
  const body = await (await fetch(`http://${address}${PATH}`)).text();
  await using fixed = await startChild({
    role: ChildRole.FixedServer,
    address: BENCH_ADDRESS.fixedServer,
    body,
  });
  const requestsPerCore = {instance: [] as number[], fixed: [] as number[]};
  const latencies = {instance: [] as number[], fixed: [] as number[]};
  let requests = 0;
  for (let round = 0; round < ROUNDS; round++) {
    for (const kind of ['fixed', 'instance'] as const) {
      const child = kind === 'instance' ? instance : fixed;
      const before = await child.getUsage();
      const load = await runRawLoad({
        address: kind === 'instance' ? address : BENCH_ADDRESS.fixedServer,
        path: PATH,
        connections: CONNECTIONS,
        durationMs: DURATION_MS,
        warmupMs: round === 0 ? 1_000 : 0,
      });
      const after = await child.getUsage();
      // The processor time of the first round includes the warm-up, so the round is discarded.
      if (round === 0) continue;
      requestsPerCore[kind].push(
        (load.requests / (after.cpuMs - before.cpuMs)) * 1000,
      );
      latencies[kind].push(load.latencies.getValueAtPercentile(99));
      requests += load.requests;
    }
  }
  sink.record({
    name: 'lookup.http.requests-per-core',
    value: getMean(requestsPerCore.instance),
    unit: '1/s',
    n: requests,
    baseline: {name: 'fixed answer', value: getMean(requestsPerCore.fixed)},
    goal: {kind: GoalKind.AtLeast, bound: 0.8, isRatio: true},
  });
  sink.record({
    name: 'lookup.http.p99',
    value: getMean(latencies.instance),
    unit: 'us',
    n: requests,
    baseline: {name: 'fixed answer', value: getMean(latencies.fixed)},
  });
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
