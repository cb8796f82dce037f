import {
  createLogger,
  InvariantMonitor,
  Outcome,
  RequestClass,
} from '@primrosestage/common';
import {RoutingTask} from '@primrosestage/instance';
import {
  createRetryBudget,
  creditFirstAttempt,
  decideRetry,
  getCandidateOrders,
  type Hash64,
  type InstanceInfo,
  Liveness,
  type RetryBudget,
  RetryObstacle,
  type Service,
  type Target,
} from '@primrosestage/steering';
import {Registry} from 'prom-client';
import {DEADLINE_MS, SimOwner} from './sim_owner.js';
import {
  getDelayMs,
  INSTANCE_DELAY_MS,
  SimOutcome,
  type SimPolicy,
  type SimRequest,
  type SimWorld,
} from './sim_world.js';

/** Interval of the heartbeats that carry free slots, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 500;

/** Runs primrosestage's routing, retries and admission control at every instance. */
export class PrimrosestagePolicy implements SimPolicy {
  readonly name = 'primrosestage';
  readonly routingTasks = new Map<string, RoutingTask>();
  private readonly owners = new Map<string, SimOwner>();
  private readonly retryBudgets = new Map<string, RetryBudget>();
  private readonly heartbeats = new Map<string, number>();
  private readonly monitor: InvariantMonitor;

  constructor(
    private readonly world: SimWorld,
    private readonly interZoneMs: number,
    hash: Hash64,
  ) {
    const {topology, clock} = world;
    this.monitor = new InvariantMonitor(
      createLogger({level: 'error', fields: {}}),
      new Registry(),
    );
    const {endpoints, instances: members} = topology;
    const orders = getCandidateOrders({endpoints, members, hash});
    const getOwnerId = (id: string) => orders.get(id)?.[0];
    for (const self of members) {
      for (const service of topology.services) {
        const isOwned = (id: string) => getOwnerId(id) === self.id;
        const owner = new SimOwner({
          world,
          self,
          service,
          interZoneMs,
          isOwned,
        });
        this.owners.set(getKey(self.id, service), owner);
      }
      this.routingTasks.set(self.id, this.createRouting(self, getOwnerId));
    }
    clock.every(HEARTBEAT_INTERVAL_MS, () => {
      for (const [key, owner] of this.owners) {
        this.heartbeats.set(key, owner.freeSlots);
      }
    });
  }

  /** Number of invariant violations that routing reported. */
  get violationCount(): number {
    return this.monitor.violationCount;
  }

  send(request: SimRequest): void {
    const key = getKey(request.ingress.id, request.service);
    const budget = this.retryBudgets.get(key) ?? createRetryBudget();
    this.retryBudgets.set(key, creditFirstAttempt(budget));
    const {clock} = this.world;
    const deadlineAt = clock.now() + DEADLINE_MS;
    clock.at(clock.now() + INSTANCE_DELAY_MS, () =>
      this.attempt(request, new Set(), deadlineAt),
    );
  }

  /** Begins slow start at the owners of a zone, as probes do after its endpoints restarted. */
  beginSlowStart(zone: string): void {
    const {topology} = this.world;
    for (const {id} of topology.instances.filter(i => i.zone === zone)) {
      for (const service of topology.services) {
        this.owners.get(getKey(id, service))?.beginSlowStart();
      }
    }
  }

  private attempt(
    request: SimRequest,
    tried: Set<string>,
    deadlineAt: number,
  ): void {
    const {world} = this;
    const {clock, topology} = world;
    const {service, ingress} = request;
    const routing = this.routingTasks.get(ingress.id);
    const target = routing?.selectTarget({
      service,
      requestClass: RequestClass.Idempotent,
      sourceRegion: ingress.region,
      tried,
    });
    if (!routing || !target) return request.finish(SimOutcome.Refused);
    tried.add(target.owner.id);
    const isSelf = target.owner.id === ingress.id;
    const delayMs = isSelf
      ? 0
      : getDelayMs(topology, this.interZoneMs, ingress, target.owner);
    const startedAt = clock.now();
    const record = (outcome: Outcome, freeSlots?: number) => {
      const latencyMs = clock.now() - startedAt;
      routing.recordResult({target, service, outcome, freeSlots, latencyMs});
      if (outcome === Outcome.Answered) {
        request.finish(SimOutcome.Answered, target.region);
      } else {
        this.retry(request, tried, deadlineAt, outcome);
      }
    };
    clock.at(startedAt + delayMs + (isSelf ? 0 : INSTANCE_DELAY_MS), () => {
      if (world.isDown(target.owner.zone)) {
        clock.at(clock.now() + delayMs, () => record(Outcome.NotRun));
        return;
      }
      this.execute(target, request, (outcome, freeSlots) =>
        clock.at(clock.now() + delayMs, () => record(outcome, freeSlots)),
      );
    });
  }

  private execute(
    {owner}: Target,
    request: SimRequest,
    answer: (outcome: Outcome, freeSlots: number) => void,
  ): void {
    const key = getKey(owner.id, request.service);
    this.owners.get(key)?.execute(request, answer);
  }

  private retry(
    request: SimRequest,
    tried: Set<string>,
    deadlineAt: number,
    outcome: Outcome,
  ): void {
    const key = getKey(request.ingress.id, request.service);
    const {obstacle, budget} = decideRetry(
      {
        requestClass: RequestClass.Idempotent,
        mayHaveRun: outcome === Outcome.Unknown,
        canResend: true,
        attempts: tried.size,
        remainingMs: deadlineAt - this.world.clock.now(),
        medianMs: 0,
      },
      this.retryBudgets.get(key) ?? createRetryBudget(),
    );
    this.retryBudgets.set(key, budget);
    if (obstacle === RetryObstacle.None) {
      this.attempt(request, tried, deadlineAt);
    } else {
      request.finish(
        outcome === Outcome.Unknown ? SimOutcome.Failed : SimOutcome.Refused,
      );
    }
  }

  private createRouting(
    self: InstanceInfo,
    getOwnerId: (endpointId: string) => string | undefined,
  ): RoutingTask {
    const {world} = this;
    const {topology, clock, preset, random} = world;
    return new RoutingTask({
      topology,
      self,
      ownership: {
        getOwner: id => topology.getInstance(getOwnerId(id) ?? ''),
        getLimit: () => 0,
      },
      configuration: {
        getPreset: () => preset,
        getDrains: () => world.getDrains(),
      },
      timers: clock,
      monitor: this.monitor,
      random,
      getLiveness: id => {
        const zone = topology.getInstance(id)?.zone ?? '';
        return world.isKnownDown(zone) ? Liveness.Suspected : Liveness.Live;
      },
      // Heartbeats reach the zone and the region's representatives, but no other region.
      getReportedFreeSlots: (id, service) => {
        if (topology.getInstance(id)?.region !== self.region) return undefined;
        const freeSlots = this.heartbeats.get(getKey(id, service));
        if (freeSlots === undefined) return undefined;
        return {freeSlots, ageMs: clock.now() % HEARTBEAT_INTERVAL_MS};
      },
      getInstanceCount: region => topology.getInstancesOfRegion(region).length,
      fetchReport: peer =>
        Promise.resolve(this.routingTasks.get(peer.id)?.getReport()),
    });
  }
}

function getKey(instanceId: string, {name}: Service): string {
  return `${instanceId}/${name}`;
}
