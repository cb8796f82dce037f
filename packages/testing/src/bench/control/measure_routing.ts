import {
  createLogger,
  InvariantMonitor,
  Priority,
  RequestClass,
} from '@primrosestage/common';
import {PRESET_SCHEMA} from '@primrosestage/control';
import {RoutingTask} from '@primrosestage/instance';
import {
  type Endpoint,
  type InstanceInfo,
  Liveness,
  type Service,
  Topology,
} from '@primrosestage/steering';
import {Registry} from 'prom-client';
import {createRandom} from '../create_random.js';
import {type FigureSink, GoalKind} from '../figure.js';
import {SimClock} from '../policy/sim_clock.js';

/** Sizes of the system: the current one, and the one planned for two years ahead. */
const SIZES = [
  {name: 'today', regions: 3, zones: 6, services: 3, instances: 7},
  {name: 'two-years', regions: 10, zones: 26, services: 21, instances: 4_400},
];

/** Endpoints of a service in a zone. */
const ENDPOINTS_PER_ZONE = 4;

/** Virtual time of the measurement in milliseconds. */
const DURATION_MS = 20_000;

/** Processor budget of the control plane per node, in cores. */
const CORE_BUDGET = 0.023;
const MIB = 1024 * 1024;

/**
 * Measures processor time and memory of the routing task at both sizes.
 * @param sink - Receives the figures.
 */
export function measureRouting(sink: FigureSink): void {
  for (const size of SIZES) {
    const topology = createTopology(size);
    const clock = new SimClock();
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const task = createTask(topology, clock, sink.seed);
    const select = () => {
      for (const service of topology.services) {
        task.selectTarget({
          service,
          requestClass: RequestClass.Idempotent,
          sourceRegion: 'r0',
          tried: new Set(),
        });
      }
    };
    // The shares of a service are created by its first request.
    select();
    clock.runUntil(DURATION_MS);
    const before = process.cpuUsage();
    clock.runUntil(2 * DURATION_MS);
    const {user, system} = process.cpuUsage(before);
    globalThis.gc?.();
    const heapAfter = process.memoryUsage().heapUsed;
    const n = DURATION_MS / 500;
    sink.record({
      name: `control.routing.core-share.${size.name}`,
      value: (user + system) / 1000 / DURATION_MS,
      unit: 'cores',
      n,
      goal: {kind: GoalKind.AtMost, bound: CORE_BUDGET, isRatio: false},
    });
    sink.record({
      name: `control.routing.heap.${size.name}`,
      value: (heapAfter - heapBefore) / MIB,
      unit: 'MiB',
      n: 1,
    });
    sink.record({
      name: `control.routing.report.${size.name}`,
      value: Buffer.byteLength(JSON.stringify(task.getReport())),
      unit: 'bytes',
      n: 1,
    });
  }
}

function createTask(
  topology: Topology,
  clock: SimClock,
  seed: number,
): RoutingTask {
  const preset = PRESET_SCHEMA.parse({});
  const memberCounts = new Map<string, number>();
  for (const {region} of topology.instances) {
    memberCounts.set(region, (memberCounts.get(region) ?? 0) + 1);
  }
  const zoneOwners = new Map<string, InstanceInfo>();
  for (const instance of topology.instances) {
    zoneOwners.set(instance.zone, instance);
  }
  const owners = new Map(
    topology.endpoints.map(({id, zone}) => [id, zoneOwners.get(zone)]),
  );
  return new RoutingTask({
    topology,
    self: topology.getInstanceOrThrow('i0'),
    ownership: {getOwner: id => owners.get(id), getLimit: () => 0},
    configuration: {
      getPreset: () => preset,
      getDrains: () => [],
    },
    timers: clock,
    monitor: new InvariantMonitor(
      createLogger({level: 'error', fields: {}}),
      new Registry(),
    ),
    random: createRandom(seed),
    getLiveness: () => Liveness.Live,
    getReportedFreeSlots: () => ({freeSlots: 8, ageMs: 100}),
    getInstanceCount: region => memberCounts.get(region) ?? 0,
    fetchReport: () => Promise.resolve(undefined),
  });
}

function createTopology(size: (typeof SIZES)[number]): Topology {
  const regions = Array.from({length: size.regions}, (_, i) => `r${i}`);
  const zones = Array.from({length: size.zones}, (_, i) => ({
    name: `z${i}`,
    region: `r${i % size.regions}`,
  }));
  const services: Service[] = Array.from({length: size.services}, (_, i) => ({
    team: 'team',
    name: `s${i}`,
    priority: Priority.Normal,
  }));
  const endpoints: Endpoint[] = services.flatMap(({team, name}) =>
    zones.flatMap(({name: zone, region}) =>
      Array.from({length: ENDPOINTS_PER_ZONE}, (_, i) => ({
        id: `${name}-${zone}-${i}`,
        team,
        service: name,
        zone,
        region,
        address: '127.60.0.1:80',
        slots: 4,
        maxConnections: 400,
      })),
    ),
  );
  const instances: InstanceInfo[] = Array.from(
    {length: size.instances},
    (_, i) => {
      const zone = zones[i % zones.length];
      return {
        id: `i${i}`,
        zone: zone?.name ?? '',
        region: zone?.region ?? '',
        publicAddress: '',
        internalAddress: '',
        adminAddress: '',
      };
    },
  );
  const links = regions.flatMap((from, i) =>
    regions.slice(i + 1).map(to => ({
      regions: [from, to] as [string, string],
      capacityMbit: 4000,
      oneWayLatencyMs: 20,
    })),
  );
  return new Topology({regions, zones, links, services, endpoints, instances});
}
