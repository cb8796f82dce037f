import {Registry} from 'prom-client';
import {
  AttemptOutcome,
  BeginResult,
  createDirectMetrics,
  createLimitControl,
  type DirectSettings,
  EndpointSelector,
  type LimitControl,
  observeAttempt,
  type SelectionRequest,
} from '@primrosestage/instance';
import {
  ControlView,
  type MemberInfo,
  MemberTable,
  type Route,
  EndpointNotices,
} from '@primrosestage/steering';
import type {CachingEndpoint} from './caching_endpoint.js';
import type {SimRequestKind} from './deployment.js';
import type {
  DirectPolicy,
  PolicyChoice,
  PolicyRequest,
} from './direct_policy.js';
import type {SimWorld} from './sim_world.js';

const SWEEP_INTERVAL_MS = 250;
const GOSSIP_INTERVAL_MS = 500;
const DRAIN_MS = 2_500;
/** Time after which a caller retries if the chosen endpoint cannot be used, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 300;

/** Selections for one request; each one that is not sent excludes a limited endpoint. */
const MAX_SELECTIONS = 6;
/** Time for which a request waits for a permit of an instance in its region, in milliseconds. */
const PERMIT_WAIT_MS = 3;
/** Most limits that an instance shares in a round. */
const MAX_SHARED_LIMITS = 16;

interface SimInstance {
  zone: string;
  limitControl: LimitControl;
  selector: EndpointSelector;
  members: MemberTable;
  view: ControlView;
  self: () => MemberInfo;
}

/** Chooses with the selector of each instance, which has its own view of loads and caches. */
export class PrimrosestagePolicy implements DirectPolicy {
  readonly name = 'primrosestage';
  private readonly instances = new Map<string, SimInstance>();
  private readonly routes = new Map<string, Route>();
  private readonly depths = new WeakMap<PolicyRequest, number>();
  private heartbeat = 0;

  constructor(private readonly world: SimWorld) {
    const {deployment, clock} = world;
    for (const kind of deployment.kinds) {
      this.routes.set(kind.name, createRoute(kind));
    }
    for (const zone of Object.keys(deployment.zones)) {
      for (let i = 0; i < deployment.instancesPerZone; i++) {
        this.instances.set(`${zone}-${i}`, this.createInstance(zone, i));
      }
    }
    clock.every(SWEEP_INTERVAL_MS, () => {
      for (const {selector, limitControl} of this.instances.values()) {
        selector.sweep();
        limitControl.permits.prune();
      }
    });
    this.exchangeMemberInfo();
    clock.every(GOSSIP_INTERVAL_MS, () => this.exchangeMemberInfo());
  }

  choose(request: PolicyRequest): PolicyChoice {
    const {selector, limitControl} = this.getInstance(request);
    for (let i = 0; i < MAX_SELECTIONS; i++) {
      const {choice, endpoint, candidate} = selector.select(
        this.createSelectionRequest(request),
      );
      if (choice.id === undefined) return {retryAfterMs: choice.retryAfterMs};
      const sim = this.world
        .getEndpoints(request.kind)
        .find(({entry}) => entry.id === choice.id);
      if (!endpoint || !candidate || !sim) break;
      const result = selector.begin(endpoint);
      if (result === BeginResult.PermitRequested) {
        const {permits} = limitControl;
        if (permits.isCoordinatorNear(endpoint))
          return {waitMs: PERMIT_WAIT_MS};
      }
      if (result !== BeginResult.Begun) continue;
      this.depths.set(request, candidate.depth);
      return {endpoint: sim};
    }
    return {retryAfterMs: DEFAULT_RETRY_AFTER_MS};
  }

  observe(
    request: PolicyRequest,
    endpoint: CachingEndpoint,
    result: {isRefused: boolean; sentAt: number},
  ): void {
    const {selector, view, limitControl} = this.getInstance(request);
    const entry = view.endpointTable.get(endpoint.entry.id);
    if (!entry) return;
    const {running, waiting, slots} = endpoint.loadReport;
    const outcome = result.isRefused
      ? AttemptOutcome.Refused
      : AttemptOutcome.Answered;
    limitControl.tracker.observeResponse(entry, {
      limit: endpoint.limitPerSecond?.toFixed(3),
      isSuccess: !result.isRefused,
      startedAt: result.sentAt,
      respondedAt: this.world.clock.now(),
    });
    observeAttempt(
      {
        endpoint: entry,
        startedAt: result.sentAt,
        depth: this.depths.get(request) ?? 0,
      },
      {
        outcome,
        load: request.kind.slowEndpoints
          ? `${running},${waiting},${slots},${100 * endpoint.slowness}`
          : `${running},${waiting},${slots}`,
        connectMs:
          2 * this.world.getLatencyMs(request.zone, endpoint.entry.zone),
      },
      selector,
      {at: this.world.clock.now(), objectKey: request.object},
    );
  }

  private createSelectionRequest(request: PolicyRequest): SelectionRequest {
    const {kind, object, remainingMs, tried} = request;
    return {
      route: this.routes.get(kind.name) as Route,
      terms: {priority: 0, homeRegions: []},
      service: kind.name,
      objectKey: object,
      tried,
      remainingMs,
    };
  }

  private getInstance({zone, instance}: PolicyRequest): SimInstance {
    return this.instances.get(`${zone}-${instance}`) as SimInstance;
  }

  private createInstance(zone: string, i: number): SimInstance {
    const {deployment, clock} = this.world;
    const settings = createSettings(`${zone}-${i}`, zone, deployment.zones);
    const view = new ControlView(DRAIN_MS);
    view.apply(
      {
        revision: 1,
        isFull: true,
        configuration: {
          version: 1,
          routes: [...this.routes.values()],
          services: new Map(),
          limits: {
            maxHeaderBytes: 1,
            maxBodyBytes: 1,
            headerTimeoutMs: 1,
            idleTimeoutMs: 1,
          },
        },
        endpoints: this.world.getAllEndpoints().map(({entry}) => ({
          id: entry.id,
          revision: 1,
          entry,
          isRemoved: false,
        })),
        evacuations: [],
      },
      clock.now(),
    );
    const self = (): MemberInfo => ({
      id: settings.id,
      zone,
      region: settings.region,
      controlAddress: settings.controlAddress,
      gossipAddress: settings.gossipAddress,
      callerAddress: settings.callerAddress,
      bornAt: 1,
      version: 1,
      isServing: true,
      isFollowing: false,
      openRequests: selector.averageOpenRequests,
      heartbeat: this.heartbeat,
    });
    const members = new MemberTable(self);
    const limitControl: LimitControl = createLimitControl({
      settings,
      view,
      members,
      timers: clock,
      logger: {info: () => {}, warn: () => {}, error: () => {}},
      metrics: createDirectMetrics(new Registry()),
      getServingSince: () => -Infinity,
      send: (message, address) =>
        this.deliver(zone, address, ({receive}) => receive(message)),
      announce: () => this.shareLimits(zone, limitControl),
    });
    const {permits} = limitControl;
    const selector = new EndpointSelector(
      settings,
      view,
      members,
      {permits, notices: new EndpointNotices()},
      clock,
    );
    return {zone, limitControl, selector, members, view, self};
  }

  private deliver(
    fromZone: string,
    id: string,
    receive: (limitControl: LimitControl) => void,
  ): void {
    const target = this.instances.get(id);
    if (!target) return;
    const latencyMs = this.world.getLatencyMs(fromZone, target.zone);
    this.world.clock.after(latencyMs, () => receive(target.limitControl));
  }

  private shareLimits(fromZone: string, {limits}: LimitControl): void {
    const now = this.world.clock.now();
    const shared = limits.selectShared(MAX_SHARED_LIMITS, now);
    for (const id of this.instances.keys()) {
      this.deliver(fromZone, id, ({tracker}) => tracker.merge(shared));
    }
  }

  private exchangeMemberInfo(): void {
    this.heartbeat++;
    const all = [...this.instances.values()];
    const infos = all.map(({self}) => self());
    for (const {members, zone, limitControl} of all) {
      members.merge(infos, this.world.clock.now());
      this.shareLimits(zone, limitControl);
    }
  }
}

function createRoute(kind: SimRequestKind): Route {
  return {
    name: kind.name,
    host: 'sim',
    prefix: `/${kind.name}/`,
    kind: kind.requestKind,
    targets: [{service: kind.name, weight: 1}],
    timeoutMs: 0,
    objectiveMs: kind.objectiveMs,
    priority: 1,
    attempts: 2,
    isSticky: true,
    homeRegions: [],
  };
}

function createSettings(
  id: string,
  zone: string,
  zones: Readonly<Record<string, string>>,
): DirectSettings {
  const address = '127.0.0.1:1';
  return {
    id,
    zone,
    region: zones[zone] ?? '',
    regionsByZone: new Map(Object.entries(zones)),
    callerAddress: address,
    readinessAddress: address,
    directoryAddress: address,
    controlAddress: address,
    gossipAddress: id,
    seedAddresses: [],
    isSystemStart: false,
    bounds: {
      repeatRatio: 0.2,
      repeatSlack: 64,
      repeatWindowMs: 10_000,
      coldFactor: 1.5,
      coldSlack: 5,
      maxShift: 0.15,
      drainMs: DRAIN_MS,
      stopTimeoutMs: 6_000,
      maxDirectoryTtlMs: 5_000,
    },
  };
}
