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

/** Slots of the endpoint, above the connections of the load, so that admission never waits. */
const SLOTS = 1_000;

/** Connections for latency; one request at a time shows the cost of the hop alone. */
const QUIET_CONNECTIONS = 1;
const BUSY_CONNECTIONS = 32;
const DURATION_MS = 3_000;
const IDLE_CONNECTIONS = 2_000;

/** Time for which connections settle before memory is read, in milliseconds. */
const SETTLE_MS = 500;

interface Way {
  name: string;
  address: string;
  /** Processes between caller and backend server. */
  processes: BenchChild[];
}

interface WayResult {
  latencies: Histogram;
  perCore: number;
}

/**
 * Measures what a hop through an instance adds, against a bare relay.
 * @param sink - Takes the figures.
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
  const ways: Way[] = [
    {name: 'direct', address: BENCH_ADDRESS.backend, processes: [backend]},
    {name: 'bare-relay', address: BENCH_ADDRESS.relay, processes: [relay]},
    {name: 'one-instance', address: ownerAddress, processes: [owner]},
    {
      name: 'two-instances',
      address: ingressAddress,
      processes: [ingress, owner],
    },
  ];
  const results = new Map<string, WayResult>();
  for (const way of ways) results.set(way.name, await measureWay(way));
  recordWays(sink, results);
  await recordIdle(sink, relay, owner, ownerAddress);
}

async function measureWay(way: Way): Promise<WayResult> {
  const load = {address: way.address, path: PATH, durationMs: DURATION_MS};
  await runRawLoad({...load, connections: BUSY_CONNECTIONS, warmupMs: 1_000});
  const quiet = await runRawLoad({
    ...load,
    connections: QUIET_CONNECTIONS,
    warmupMs: 500,
  });
  const before = await getCpuMs(way);
  const busy = await runRawLoad({
    ...load,
    connections: BUSY_CONNECTIONS,
    warmupMs: 0,
  });
  const cpuMs = (await getCpuMs(way)) - before;
  return {
    latencies: quiet.latencies,
    perCore: (busy.requests / cpuMs) * 1000,
  };
}

async function getCpuMs({processes}: Way): Promise<number> {
  const usages = await Promise.all(processes.map(child => child.getUsage()));
  return usages.reduce((sum, {cpuMs}) => sum + cpuMs, 0);
}

function recordWays(
  sink: FigureSink,
  results: ReadonlyMap<string, WayResult>,
): void {
  const direct = results.get('direct');
  const bare = results.get('bare-relay');
  if (!direct || !bare) return;
  for (const [name, {latencies, perCore}] of results) {
    const n = latencies.totalCount;
    for (const percentile of [50, 99, 99.9]) {
      const added =
        latencies.getValueAtPercentile(percentile) -
        direct.latencies.getValueAtPercentile(percentile);
      const addedByBare =
        bare.latencies.getValueAtPercentile(percentile) -
        direct.latencies.getValueAtPercentile(percentile);
      const isHop = name === 'one-instance' && percentile < 99.9;
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
          : {baseline: {name: 'bare relay', value: addedByBare}}),
        ...(isHop
          ? {goal: {kind: GoalKind.AtMost, bound: 1.5, isRatio: true}}
          : {}),
      });
    }
    sink.record({
      name: `hop.${name}.requests-per-core`,
      value: perCore,
      unit: '1/s',
      n,
      baseline: {name: 'bare relay', value: bare.perCore},
    });
  }
}

async function recordIdle(
  sink: FigureSink,
  relay: BenchChild,
  instance: BenchChild,
  instanceAddress: string,
): Promise<void> {
  const bare = await measureIdle(relay, BENCH_ADDRESS.relay);
  const own = await measureIdle(instance, instanceAddress);
  sink.record({
    name: 'hop.memory-per-idle-connection',
    value: own,
    unit: 'bytes',
    n: IDLE_CONNECTIONS,
    baseline: {name: 'bare relay', value: bare},
  });
}

async function measureIdle(
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
