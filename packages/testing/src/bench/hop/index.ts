import {once} from 'node:events';
import net from 'node:net';
import type {Histogram} from 'hdr-histogram-js';
import {type FigureSink, GoalKind} from '../figure.js';
import {BENCH_ADDRESS, writeBenchSettings} from '../process/bench_settings.js';
import {type BenchChild, startChild} from '../process/child_process.js';
import {ChildRole} from '../process/child_roles.js';
import {runRawLoad} from '../process/raw_client.js';
import {startBenchStore} from '../process/start_bench_store.js';
import {waitUntilReady} from '../process/wait_until_ready.js';

const PATH = '/v1/requests/team/search/item';
const BODY = JSON.stringify({healthy: true, inFlight: 0, queued: 0});

/** Slots of the endpoint, more than the connections of the load, so that admission never queues. */
const SLOTS = 1_000;

/** Connections for latency; one request at a time shows the latency of the hop without queueing. */
const LATENCY_CONNECTIONS = 1;
const THROUGHPUT_CONNECTIONS = 32;
const DURATION_MS = 3_000;
const IDLE_CONNECTIONS = 2_000;

/** Time for connections to settle before memory is read, in milliseconds. */
const SETTLE_MS = 500;

interface HopVariant {
  name: string;
  address: string;
  /**
   * Processes whose processor time is measured: those between caller and backend server, or the
   * backend server if there are none.
   */
  processes: BenchChild[];
}

interface VariantResult {
  latencies: Histogram;
  requestsPerCore: number;
}

/**
 * Measures the latency, processor time and memory that a hop through an instance adds, compared
 * with a bare relay.
 * @param sink - Receives the figures.
 */
export async function runHopBench(sink: FigureSink): Promise<void> {
  using settings = writeBenchSettings({
    instanceZones: ['north-a', 'north-b'],
    endpointZone: 'north-a',
    slots: SLOTS,
  });
  await using backend = await startChild({
    role: ChildRole.FixedServer,
    address: BENCH_ADDRESS.backend,
    body: BODY,
  });
  await using relay = await startChild({
    role: ChildRole.BareRelay,
    address: BENCH_ADDRESS.relay,
    target: BENCH_ADDRESS.backend,
  });
  const [ownerFile = '', ingressFile] = settings.files;
  await using store = await startBenchStore(ownerFile);
  void store;
  const [ownerAddress = '', ingressAddress = ''] = settings.publicAddresses;
  await using owner = await startChild({
    role: ChildRole.Instance,
    settings: ownerFile,
  });
  await using ingress = await startChild({
    role: ChildRole.Instance,
    settings: ingressFile,
  });
  await waitUntilReady(settings.publicAddresses);
  const variants: HopVariant[] = [
    {name: 'direct', address: BENCH_ADDRESS.backend, processes: [backend]},
    {name: 'bare-relay', address: BENCH_ADDRESS.relay, processes: [relay]},
    {name: 'one-instance', address: ownerAddress, processes: [owner]},
    {
      name: 'two-instances',
      address: ingressAddress,
      processes: [ingress, owner],
    },
  ];
  const results = new Map<string, VariantResult>();
  for (const variant of variants)
    results.set(variant.name, await measureVariant(variant));
  recordVariants(sink, results);
  await recordIdleMemory(sink, relay, owner, ownerAddress);
}

async function measureVariant(variant: HopVariant): Promise<VariantResult> {
  const load = {address: variant.address, path: PATH, durationMs: DURATION_MS};
  await runRawLoad({
    ...load,
    connections: THROUGHPUT_CONNECTIONS,
    warmupMs: 1_000,
  });
  const latencyLoad = await runRawLoad({
    ...load,
    connections: LATENCY_CONNECTIONS,
    warmupMs: 500,
  });
  const before = await getCpuMs(variant);
  const throughputLoad = await runRawLoad({
    ...load,
    connections: THROUGHPUT_CONNECTIONS,
    warmupMs: 0,
  });
  const cpuMs = (await getCpuMs(variant)) - before;
  return {
    latencies: latencyLoad.latencies,
    requestsPerCore: (throughputLoad.requests / cpuMs) * 1000,
  };
}

async function getCpuMs({processes}: HopVariant): Promise<number> {
  const usages = await Promise.all(processes.map(child => child.getUsage()));
  return usages.reduce((sum, {cpuMs}) => sum + cpuMs, 0);
}

function recordVariants(
  sink: FigureSink,
  results: ReadonlyMap<string, VariantResult>,
): void {
  const direct = results.get('direct');
  const relay = results.get('bare-relay');
  if (!direct || !relay) return;
  for (const [name, {latencies, requestsPerCore}] of results) {
    const n = latencies.totalCount;
    for (const percentile of [50, 99, 99.9]) {
      const added =
        latencies.getValueAtPercentile(percentile) -
        direct.latencies.getValueAtPercentile(percentile);
      const addedByRelay =
        relay.latencies.getValueAtPercentile(percentile) -
        direct.latencies.getValueAtPercentile(percentile);
      const hasGoal = name === 'one-instance' && percentile < 99.9;
      sink.record({
        name: `hop.${name}.${name === 'direct' ? 'latency' : 'added'}.p${percentile}`,
        value:
          name === 'direct'
            ? latencies.getValueAtPercentile(percentile)
            : added,
        unit: 'us',
        n,
        ...(name === 'direct' || name === 'bare-relay'
          ? {}
          : {baseline: {name: 'bare relay', value: addedByRelay}}),
        ...(hasGoal
          ? {goal: {kind: GoalKind.AtMost, bound: 1.5, isRatio: true}}
          : {}),
      });
    }
    sink.record({
      name: `hop.${name}.requests-per-core`,
      value: requestsPerCore,
      unit: '1/s',
      n,
      baseline: {name: 'bare relay', value: relay.requestsPerCore},
    });
  }
}

async function recordIdleMemory(
  sink: FigureSink,
  relay: BenchChild,
  instance: BenchChild,
  instanceAddress: string,
): Promise<void> {
  const relayBytes = await measureIdleMemory(relay, BENCH_ADDRESS.relay);
  const instanceBytes = await measureIdleMemory(instance, instanceAddress);
  sink.record({
    name: 'hop.memory-per-idle-connection',
    value: instanceBytes,
    unit: 'bytes',
    n: IDLE_CONNECTIONS,
    baseline: {name: 'bare relay', value: relayBytes},
  });
}

async function measureIdleMemory(
  child: BenchChild,
  address: string,
): Promise<number> {
  const [host = '', port] = address.split(':');
  const before = await child.getUsage();
  const sockets = Array.from({length: IDLE_CONNECTIONS}, () =>
    net.connect({host, port: Number(port)}),
  );
  await Promise.all(sockets.map(socket => once(socket, 'connect')));
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  const after = await child.getUsage();
  for (const socket of sockets) socket.destroy();
  return (after.heapBytes - before.heapBytes) / IDLE_CONNECTIONS;
}
