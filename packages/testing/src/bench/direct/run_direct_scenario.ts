import {getRetryAfterMs} from '@primrosestage/steering';
import {createRandom, type Random} from '../create_random.js';
import type {CachingEndpoint} from './caching_endpoint.js';
import {
  CACHED_WORK_FRACTION,
  type SimDeployment,
  type SimRequestKind,
} from './deployment.js';
import type {DirectPolicy, PolicyRequest} from './direct_policy.js';
import {CallerOutcome, DirectTally} from './direct_tally.js';
import {SimWorld} from './sim_world.js';

/** Maximum number of endpoints to which one request of a caller is sent. */
const MAX_ATTEMPTS = 2;
/** Maximum number of requests that a caller makes before it gives up. */
const MAX_TRIES = 2;
/** Standard deviation of the logarithm of the work. */
const WORK_SIGMA = 0.15;

/** Describes the load of a run. */
export interface DirectScenario {
  name: string;
  /** Offered load as a fraction of all slots if every object were cached. */
  load: number;
  durationMs: number;
  /** Time from which callers and endpoints are counted, once caches are filled; 0 if undefined. */
  countFromMs?: number;
  /** Load factors of the zones, in the order of the deployment. */
  skew: readonly number[];
  /** Rate limits that endpoints state for a time; undefined for none. */
  limits?: ScenarioLimits;
}

/** Describes the rate limits that endpoints state during a run. */
export interface ScenarioLimits {
  /** One of this many endpoints states a limit. */
  oneOf: number;
  /** The limit as a fraction of the mean rate of requests for an endpoint of the service. */
  fraction: number;
  fromMs: number;
  toMs: number;
}

/** Creates the policy of a run. */
export type CreateDirectPolicy = (
  world: SimWorld,
  random: Random,
) => DirectPolicy;

/** A caller and its request. */
interface Caller {
  kind: SimRequestKind;
  object: string;
  zone: string;
  workMs: number;
  startedAt: number;
  deadlineAt: number;
  tries: number;
}

/**
 * Simulates a load with one policy; arrivals, objects and work depend on the seed alone.
 * @param deployment - Sizes and latencies.
 * @param scenario - The load.
 * @param createPolicy - Creates the policy.
 * @param seed - The seed.
 * @returns The outcomes of the callers.
 */
export function runDirectScenario(
  deployment: SimDeployment,
  scenario: DirectScenario,
  createPolicy: CreateDirectPolicy,
  seed: number,
): DirectTally {
  const world = new SimWorld(deployment);
  const policy = createPolicy(world, createRandom(seed + 1));
  const simulation = new DirectSimulation(
    world,
    policy,
    createRandom(seed + 2),
  );
  if (scenario.countFromMs) {
    const {countFromMs} = scenario;
    simulation.countFromMs = countFromMs;
    world.clock.at(countFromMs, () => {
      for (const endpoint of world.getAllEndpoints()) endpoint.resetCounts();
    });
  }
  if (scenario.limits) scheduleLimits(world, scenario, scenario.limits);
  for (const kind of deployment.kinds) {
    startSlowEndpoints(world, kind, createRandom(seed + 3));
  }
  Object.keys(deployment.zones).forEach((zone, z) => {
    deployment.kinds.forEach((kind, k) => {
      const random = createRandom(seed + 1_000 * (z + 1) + k);
      const perMs = getArrivalsPerMs(world, kind, scenario, z);
      startArrivals(world, perMs, scenario.durationMs, random, () =>
        simulation.startRequest(
          createCaller(kind, zone, world.clock.now(), random),
        ),
      );
    });
  });
  const maxDeadlineMs = Math.max(
    ...deployment.kinds.map(kind => kind.deadlineMs),
  );
  world.clock.runUntil(scenario.durationMs + 2 * maxDeadlineMs);
  for (const kind of deployment.kinds) {
    simulation.tally.recordUse(kind, world.getEndpoints(kind));
  }
  for (const {arrivedAt, limit} of world.getAllEndpoints()) {
    if (limit) simulation.tally.countLimit(arrivedAt, limit);
  }
  return simulation.tally;
}

function startSlowEndpoints(
  world: SimWorld,
  kind: SimRequestKind,
  random: Random,
): void {
  const {slowEndpoints} = kind;
  if (!slowEndpoints) return;
  const {fraction, factor, intervalMs} = slowEndpoints;
  const draw = () => {
    for (const endpoint of world.getEndpoints(kind)) {
      endpoint.slowness = random() < fraction ? factor : 1;
    }
  };
  draw();
  world.clock.every(intervalMs, draw);
}

function scheduleLimits(
  world: SimWorld,
  scenario: DirectScenario,
  {oneOf, fraction, fromMs, toMs}: ScenarioLimits,
): void {
  for (const kind of world.deployment.kinds) {
    const endpoints = world.getEndpoints(kind);
    const zoneCount = Object.keys(world.deployment.zones).length;
    let perMs = 0;
    for (let z = 0; z < zoneCount; z++) {
      perMs += getArrivalsPerMs(world, kind, scenario, z);
    }
    const perSecond = (1_000 * fraction * perMs) / endpoints.length;
    endpoints.forEach((endpoint, i) => {
      if (i % oneOf !== 0) return;
      endpoint.limit = {perSecond, from: fromMs, to: toMs};
    });
  }
}

/** Simulates the callers of one run. */
class DirectSimulation {
  readonly tally = new DirectTally();
  /** Start of the callers that are counted, in milliseconds. */
  countFromMs = 0;

  constructor(
    private readonly world: SimWorld,
    private readonly policy: DirectPolicy,
    private readonly random: Random,
  ) {}

  /** Starts a request of a caller at an instance of its zone. */
  startRequest(caller: Caller): void {
    const {clock, deployment} = this.world;
    caller.tries++;
    const instance = Math.floor(this.random() * deployment.instancesPerZone);
    clock.after(deployment.callerLatencyMs, () =>
      this.attempt(caller, instance, new Set()),
    );
  }

  private attempt(caller: Caller, instance: number, tried: Set<string>): void {
    const {kind, object, zone} = caller;
    const now = this.world.clock.now();
    const request: PolicyRequest = {
      kind,
      object,
      zone,
      instance,
      remainingMs: caller.deadlineAt - now,
      tried,
    };
    const choice =
      request.remainingMs > 0 && tried.size < MAX_ATTEMPTS
        ? this.policy.choose(request)
        : {retryAfterMs: kind.objectiveMs};
    if (choice.endpoint) this.send(caller, request, choice.endpoint, tried);
    else if (choice.waitMs !== undefined) {
      this.world.clock.after(choice.waitMs, () =>
        this.attempt(caller, instance, tried),
      );
    } else this.handleRefusal(caller, choice.retryAfterMs ?? kind.objectiveMs);
  }

  private send(
    caller: Caller,
    request: PolicyRequest,
    endpoint: CachingEndpoint,
    tried: Set<string>,
  ): void {
    const {clock} = this.world;
    const {zone, id} = endpoint.entry;
    const latencyMs = this.world.getLatencyMs(caller.zone, zone);
    const sentAt = clock.now();
    const finish = (isRefused: boolean, hasRun: boolean) =>
      clock.after(latencyMs, () => {
        this.policy.observe?.(request, endpoint, {isRefused, sentAt});
        if (hasRun) {
          this.recordAnswer(caller);
        } else {
          this.attempt(caller, request.instance, new Set([...tried, id]));
        }
      });
    clock.after(latencyMs, () => {
      const isAccepted = endpoint.tryAccept({
        object: caller.object,
        workMs: caller.workMs,
        deadlineAt: caller.deadlineAt,
        done: hasRun => finish(!hasRun, hasRun),
      });
      if (!isAccepted) finish(true, false);
    });
  }

  private recordAnswer(caller: Caller): void {
    const {clock, deployment} = this.world;
    const endAt = clock.now() + deployment.callerLatencyMs;
    const isInTime = endAt - caller.startedAt <= caller.kind.objectiveMs;
    const outcome =
      endAt > caller.deadlineAt
        ? CallerOutcome.Failed
        : isInTime
          ? CallerOutcome.InTime
          : CallerOutcome.Late;
    this.count(caller, outcome);
  }

  private count(caller: Caller, outcome: CallerOutcome): void {
    if (caller.startedAt < this.countFromMs) return;
    this.tally.count(caller, outcome);
  }

  private handleRefusal(caller: Caller, retryAfterMs: number): void {
    const {clock, deployment} = this.world;
    const remainingMs = caller.deadlineAt - clock.now();
    if (caller.tries >= MAX_TRIES || remainingMs <= 0) {
      this.count(caller, CallerOutcome.Refused);
      return;
    }
    const retryDelayMs = getRetryAfterMs({
      capacityInMs: retryAfterMs,
      remainingMs,
      random: this.random(),
    });
    clock.after(deployment.callerLatencyMs + retryDelayMs, () =>
      this.startRequest(caller),
    );
  }
}

function getArrivalsPerMs(
  world: SimWorld,
  kind: SimRequestKind,
  scenario: DirectScenario,
  zoneIndex: number,
): number {
  const slots = world
    .getEndpoints(kind)
    .reduce((sum, {entry}) => sum + entry.slots, 0);
  const zones = Object.keys(world.deployment.zones).length;
  const perMs =
    (scenario.load * slots) / (kind.workMs * CACHED_WORK_FRACTION * zones);
  return perMs * (scenario.skew[zoneIndex] ?? 1);
}

function startArrivals(
  {clock}: SimWorld,
  perMs: number,
  endMs: number,
  random: Random,
  onArrival: () => void,
): void {
  const next = () => {
    const dueMs = clock.now() - Math.log(1 - random()) / perMs;
    if (dueMs >= endMs) return;
    clock.at(dueMs, () => {
      onArrival();
      next();
    });
  };
  next();
}

function createCaller(
  kind: SimRequestKind,
  zone: string,
  now: number,
  random: Random,
): Caller {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const {slowWork} = kind;
  const object = `${zone}-${chooseObject(kind, random)}`;
  const isSlow = slowWork !== undefined && random() < slowWork.fraction;
  return {
    kind,
    object,
    zone,
    workMs:
      kind.workMs *
      Math.exp(WORK_SIGMA * normal) *
      (isSlow ? slowWork.factor : 1),
    startedAt: now,
    deadlineAt: now + kind.deadlineMs,
    tries: 0,
  };
}

/** Draws an object by the inverse of the continuous approximation of a Zipf distribution. */
function chooseObject(
  {objectCount, objectSkew = 0}: SimRequestKind,
  random: Random,
): number {
  if (objectSkew === 0) return Math.floor(random() * objectCount);
  const power = 1 - objectSkew;
  const range = (objectCount + 1) ** power - 1;
  return Math.floor((1 + random() * range) ** (1 / power)) - 1;
}
