import {
  AttemptOutcome,
  type DirectSettings,
  EndpointSelector,
  observeAttempt,
  type SelectionRequest,
} from '@primrosestage/instance';
import {
  ControlView,
  type MemberInfo,
  MemberTable,
  type Route,
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

interface SimInstance {
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
      for (const {selector} of this.instances.values()) selector.sweep();
    });
    this.exchangeMemberInfo();
    clock.every(GOSSIP_INTERVAL_MS, () => this.exchangeMemberInfo());
  }

  choose(request: PolicyRequest): PolicyChoice {
    const {selector} = this.getInstance(request);
    const {choice, endpoint, candidate} = selector.select(
      this.createSelectionRequest(request),
    );
    if (choice.id === undefined) return {retryAfterMs: choice.retryAfterMs};
    const sim = this.world
      .getEndpoints(request.kind)
      .find(({entry}) => entry.id === choice.id);
    if (!endpoint || !candidate || !sim || !selector.begin(endpoint)) {
      return {retryAfterMs: DEFAULT_RETRY_AFTER_MS};
    }
    this.depths.set(request, candidate.depth);
    return {endpoint: sim};
  }

  observe(
    request: PolicyRequest,
    endpoint: CachingEndpoint,
    result: {isRefused: boolean; sentAt: number},
  ): void {
    const {selector, view} = this.getInstance(request);
    const entry = view.endpointTable.get(endpoint.entry.id);
    if (!entry) return;
    const {running, waiting, slots} = endpoint.loadReport;
    observeAttempt(
      {
        endpoint: entry,
        startedAt: result.sentAt,
        depth: this.depths.get(request) ?? 0,
      },
      {
        outcome: result.isRefused
          ? AttemptOutcome.Refused
          : AttemptOutcome.Answered,
        load: `${running},${waiting},${slots}`,
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
    const selector = new EndpointSelector(settings, view, members, clock);
    return {selector, members, view, self};
  }

  private exchangeMemberInfo(): void {
    this.heartbeat++;
    const all = [...this.instances.values()];
    const infos = all.map(({self}) => self());
    for (const {members} of all) members.merge(infos, this.world.clock.now());
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
    gossipAddress: address,
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
