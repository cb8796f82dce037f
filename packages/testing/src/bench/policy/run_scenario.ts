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

/** Time until health checks and membership know of a lost zone, in milliseconds. */
const DETECTION_MS = 3_500;

/** Every so many endpoints report no load, whatever they have. */
const LIAR_EVERY = 10;

/** Spread of the service times; their 99th percentile is 6.2 times their mean. */
const SIGMA = 1;

/** Step of virtual time after which pending promises settle, in milliseconds. */
const STEP_MS = 100;

/** Describes a user of the system. */
export interface SimUser {
  name: string;
  /** One-way time between zones of a region, in milliseconds. */
  zoneMs: number;
  /** One-way time to the callers, in milliseconds. */
  clientMs: number;
  /** An instance of the example whose settings are used. */
  instance: string;
}

/** Lists the users of the design. */
export const SIM_USERS: readonly SimUser[] = [
  {name: 'ruotalibera', zoneMs: 1.5, clientMs: 1, instance: 'lombardia-a-1'},
  {name: 'tesfaye', zoneMs: 1, clientMs: 8, instance: 'addis-a-1'},
];

/** Creates a policy for a simulated system. */
export type CreatePolicy = (
  world: SimWorld,
  zoneMs: number,
) => SimPolicy & {
  beginSlowStart?(zone: string): void;
};

/** Holds what a run showed. */
export interface SimResult {
  metrics: SimMetrics;
  /** Part of the requests that found all slots of their endpoint busy. */
  exceeded: number;
  policy: SimPolicy;
}

/**
 * Loads the topology of a user's example.
 * @param user - The user.
 */
export function loadUserTopology({name, instance}: SimUser): Topology {
  const file = new URL(
    `../../../../../examples/${name}/${instance}.toml`,
    import.meta.url,
  );
  return buildTopology(loadSettings(fileURLToPath(file)).system);
}

/**
 * Runs a scenario with one policy; arrivals and service times depend on the seed alone.
 * @param user - The user.
 * @param scenario - The scenario.
 * @param createPolicy - Creates the policy.
 * @param seed - The seed.
 * @returns What the run showed.
 */
export async function runScenario(
  user: SimUser,
  scenario: Scenario,
  createPolicy: CreatePolicy,
  seed: number,
): Promise<SimResult> {
  const clock = new SimClock();
  const topology = loadUserTopology(user);
  const endpoints = new Map(
    topology.endpoints.map((info, i) => [
      info.id,
      new SimEndpoint(info, clock, i % LIAR_EVERY === LIAR_EVERY - 1),
    ]),
  );
  let drains: readonly Drain[] = [];
  const down = new Set<string>();
  const knownDown = new Set<string>();
  const world: SimWorld = {
    clock,
    topology,
    endpoints,
    random: createRandom(seed + 1),
    preset: PRESET_SCHEMA.parse({}),
    getDrains: () => drains,
    isDown: zone => down.has(zone),
    isKnownDown: zone => knownDown.has(zone),
  };
  const policy = createPolicy(world, user.zoneMs);
  const metrics = new SimMetrics(topology, WARMUP_MS);
  startArrivals(user, scenario, world, policy, metrics, seed);
  const zone = topology.zones[0]?.name ?? '';
  const region = topology.regions[0] ?? '';
  clock.at(WARMUP_MS + scenario.incidentMs, () => {
    if (scenario.incident === SimIncident.ZoneLost) {
      down.add(zone);
      clock.after(DETECTION_MS, () => knownDown.add(zone));
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
      metrics.sample(endpoints.values(), ({info}) => down.has(info.zone)),
    ),
  );
  const endMs = WARMUP_MS + scenario.durationMs;
  for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    clock.runUntil(nowMs + STEP_MS);
    await new Promise(resolve => setImmediate(resolve));
  }
  const list = [...endpoints.values()];
  const arrived = list.reduce((sum, endpoint) => sum + endpoint.arrived, 0);
  const exceeded = list.reduce((sum, endpoint) => sum + endpoint.exceeded, 0);
  return {metrics, exceeded: exceeded / Math.max(1, arrived), policy};
}

function startArrivals(
  user: SimUser,
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
        const roll = random();
        const serviceMs = drawServiceMs(scenario.meanServiceMs, random);
        const ingress = live[Math.floor(roll * live.length)];
        const request: SimRequest | undefined = ingress && {
          service,
          ingress,
          region,
          serviceMs,
          finish(end, target) {
            const nowMs = clock.now();
            if (sentAt < WARMUP_MS) return;
            const latencyMs = nowMs - sentAt + 2 * user.clientMs;
            metrics.recordEnd(
              request as SimRequest,
              end,
              nowMs,
              latencyMs,
              target,
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
  return meanMs * Math.exp(SIGMA * normal - SIGMA ** 2 / 2);
}
