import {fileURLToPath} from 'node:url';
import {
  buildTopology,
  type Drain,
  DrainKind,
  loadSettings,
  PRESET_SCHEMA,
} from '@primrosestage/control';
import type {Topology} from '@primrosestage/steering';
import {createRandom, type Random} from '../create_random.js';
import {type Scenario, SimIncident} from './scenario.js';
import {SimClock} from './sim_clock.js';
import {SimEndpoint} from './sim_endpoint.js';
import {SAMPLE_MS, SimMetrics} from './sim_metrics.js';
import type {SimPolicy, SimRequest, SimWorld} from './sim_world.js';

/** Time before the measurement begins, in milliseconds. */
const WARMUP_MS = 5_000;

/** Time until health checks and membership detect the loss of a zone, in milliseconds. */
const DETECTION_MS = 3_500;

/** Of every group of this many endpoints, the last one always reports no load. */
const MISREPORTING_EVERY = 10;

/** Sigma of the log-normal service times; their 99th percentile is 6.2 times their mean. */
const SERVICE_TIME_SIGMA = 1;

/** Step of virtual time between which pending promises can settle, in milliseconds. */
const STEP_MS = 100;

/** Describes one of the example deployments. */
export interface ExampleDeployment {
  name: string;
  /** One-way latency between zones of a region, in milliseconds. */
  interZoneMs: number;
  /** One-way latency to the callers, in milliseconds. */
  callerLatencyMs: number;
  /** The instance of the example whose settings are loaded. */
  instance: string;
}

/** Lists the example deployments. */
export const EXAMPLE_DEPLOYMENTS: readonly ExampleDeployment[] = [
  {
    name: 'ruotalibera',
    interZoneMs: 1.5,
    callerLatencyMs: 1,
    instance: 'lombardia-a-1',
  },
  {name: 'tesfaye', interZoneMs: 1, callerLatencyMs: 8, instance: 'addis-a-1'},
];

/** Creates a policy for a simulated system. */
export type CreatePolicy = (
  world: SimWorld,
  interZoneMs: number,
) => SimPolicy & {
  beginSlowStart?(zone: string): void;
};

/** Holds the result of a run. */
export interface SimResult {
  metrics: SimMetrics;
  /** Fraction of the requests that found all slots of their endpoint busy. */
  exceededFraction: number;
  policy: SimPolicy;
}

/**
 * Loads the topology of an example deployment.
 * @param deployment - The deployment.
 */
export function loadExampleTopology({
  name,
  instance,
}: ExampleDeployment): Topology {
  const file = new URL(
    `../../../../../examples/${name}/${instance}.toml`,
    import.meta.url,
  );
  return buildTopology(loadSettings(fileURLToPath(file)).system);
}

/**
 * Runs a scenario with one policy; arrivals and service times depend on the seed alone.
 * @param deployment - The deployment.
 * @param scenario - The scenario.
 * @param createPolicy - Creates the policy.
 * @param seed - The seed.
 * @returns The result of the run.
 */
export async function runScenario(
  deployment: ExampleDeployment,
  scenario: Scenario,
  createPolicy: CreatePolicy,
  seed: number,
): Promise<SimResult> {
  const clock = new SimClock();
  const topology = loadExampleTopology(deployment);
  const endpoints = new Map(
    topology.endpoints.map((info, i) => [
      info.id,
      new SimEndpoint(
        info,
        clock,
        i % MISREPORTING_EVERY === MISREPORTING_EVERY - 1,
      ),
    ]),
  );
  let drains: readonly Drain[] = [];
  const downZones = new Set<string>();
  const knownDownZones = new Set<string>();
  const world: SimWorld = {
    clock,
    topology,
    endpoints,
    random: createRandom(seed + 1),
    preset: PRESET_SCHEMA.parse({}),
    getDrains: () => drains,
    isDown: zone => downZones.has(zone),
    isKnownDown: zone => knownDownZones.has(zone),
  };
  const policy = createPolicy(world, deployment.interZoneMs);
  const metrics = new SimMetrics(topology, WARMUP_MS);
  startArrivals(deployment, scenario, world, policy, metrics, seed);
  const zone = topology.zones[0]?.name ?? '';
  const region = topology.regions[0] ?? '';
  clock.at(WARMUP_MS + scenario.incidentMs, () => {
    if (scenario.incident === SimIncident.ZoneLost) {
      downZones.add(zone);
      clock.after(DETECTION_MS, () => knownDownZones.add(zone));
    } else if (scenario.incident === SimIncident.ZoneCold) {
      for (const endpoint of endpoints.values()) {
        if (endpoint.info.zone === zone) endpoint.restart();
      }
      policy.beginSlowStart?.(zone);
    } else if (scenario.incident === SimIncident.RegionDrained) {
      drains = [{kind: DrainKind.Region, target: region}];
    }
  });
  clock.at(WARMUP_MS, () =>
    clock.every(SAMPLE_MS, () =>
      metrics.sample(endpoints.values(), ({info}) => downZones.has(info.zone)),
    ),
  );
  const endMs = WARMUP_MS + scenario.durationMs;
  for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    clock.runUntil(nowMs + STEP_MS);
    await new Promise(resolve => setImmediate(resolve));
  }
  const list = [...endpoints.values()];
  const arrivalCount = list.reduce(
    (sum, endpoint) => sum + endpoint.arrivalCount,
    0,
  );
  const exceededCount = list.reduce(
    (sum, endpoint) => sum + endpoint.exceededCount,
    0,
  );
  return {
    metrics,
    exceededFraction: exceededCount / Math.max(1, arrivalCount),
    policy,
  };
}

function startArrivals(
  deployment: ExampleDeployment,
  scenario: Scenario,
  world: SimWorld,
  policy: SimPolicy,
  metrics: SimMetrics,
  seed: number,
): void {
  const {topology, clock} = world;
  const endMs = WARMUP_MS + scenario.durationMs;
  topology.services.forEach((service, s) =>
    topology.regions.forEach((region, r) => {
      const slots = topology
        .getEndpoints(service.team, service.name)
        .filter(endpoint => endpoint.region === region)
        .reduce((sum, endpoint) => sum + endpoint.slots, 0);
      const perMs =
        (scenario.load * (scenario.skew[r] ?? 1) * slots) /
        scenario.meanServiceMs;
      const random = createRandom(seed + 1000 * (s + 1) + r);
      const instances = topology.getInstancesOfRegion(region);
      const arrive = () => {
        const sentAt = clock.now();
        const live = instances.filter(({zone}) => !world.isDown(zone));
        const instanceDraw = random();
        const serviceMs = drawServiceMs(scenario.meanServiceMs, random);
        const ingress = live[Math.floor(instanceDraw * live.length)];
        const request: SimRequest | undefined = ingress && {
          service,
          ingress,
          region,
          serviceMs,
          finish(outcome, targetRegion) {
            const nowMs = clock.now();
            if (sentAt < WARMUP_MS) return;
            const latencyMs = nowMs - sentAt + 2 * deployment.callerLatencyMs;
            metrics.recordOutcome(
              request as SimRequest,
              outcome,
              nowMs,
              latencyMs,
              targetRegion,
            );
          },
        };
        if (request) policy.send(request);
        const nextMs = clock.now() - Math.log(1 - random()) / perMs;
        if (nextMs < endMs) clock.at(nextMs, arrive);
      };
      clock.at(-Math.log(1 - random()) / perMs, arrive);
    }),
  );
}

function drawServiceMs(meanMs: number, random: Random): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return (
    meanMs * Math.exp(SERVICE_TIME_SIGMA * normal - SERVICE_TIME_SIGMA ** 2 / 2)
  );
}
