import type {TimerService} from '@primrosestage/common';
import {
  type Candidate,
  chooseEndpoint,
  ColdRateLimiter,
  type ControlView,
  EndpointLoad,
  type EndpointChoice,
  getColdRateLimit,
  getConnectionQuota,
  hash32,
  type KnownEndpoint,
  type MemberTable,
  type Route,
  WeightedSplitter,
  WarmObjects,
} from '@primrosestage/steering';
import type {DirectSettings} from './direct_settings.js';
import {ObjectPlacement} from './object_placement.js';

/** Endpoints that share an object's requests. */
const CANDIDATES = 3;
/** Requests that may wait at an endpoint beyond its slots. */
const QUEUE_LIMIT = 5;
/** Time of a request where nothing has been measured, in milliseconds. */
const DEFAULT_SERVICE_MS = 150;
/** Times of travel there and back where nothing has been measured, in milliseconds. */
const DEFAULT_TRAVEL_MS = {zone: 1, region: 4, world: 60};
/** Weight of a new measurement of the time of travel. */
const WEIGHT_OF_NEW_TRAVEL = 0.3;

/** Describes a request for an endpoint. */
export interface SelectionRequest {
  route: Route;
  service: string;
  /** Names the object, or the request where there is no object. */
  objectKey: string;
  /** Endpoints that have had the request. */
  tried: ReadonlySet<string>;
  remainingMs: number;
}

/** Holds the choice with what decided it. */
export interface Selection {
  choice: EndpointChoice;
  endpoint?: KnownEndpoint;
  candidate?: Candidate;
  /** Number of endpoints of the service that may be used. */
  available: number;
}

interface EndpointState {
  load: EndpointLoad;
  cold: ColdRateLimiter;
  warm: WarmObjects;
  hash: number;
  /** Rank of this instance for the endpoint, and the version of the members for which it holds. */
  rank?: {value: number; version: number};
  travelMs?: number;
  bornAt: number;
  wasUnreachable: boolean;
}

/** Chooses endpoints from the control view and what this instance has seen of them. */
export class EndpointSelector {
  private readonly states = new Map<string, EndpointState>();
  private readonly splits = new WeakMap<Route, WeightedSplitter>();
  private readonly serviceMs = new Map<string, number>();
  private readonly placement: ObjectPlacement;

  /**
   * Creates the selector.
   * @param settings - Place of this instance and bounds.
   * @param view - Endpoints and evacuations.
   * @param members - The instances that share the bounds.
   * @param timers - The clock.
   */
  constructor(
    private readonly settings: DirectSettings,
    private readonly view: ControlView,
    private readonly members: MemberTable,
    private readonly timers: TimerService,
  ) {
    this.placement = new ObjectPlacement(settings, view, members, timers);
  }

  /** Averages of the requests that are open at the endpoints of each service. */
  get averageOpenRequests(): Readonly<Record<string, number>> {
    return this.placement.averageOpenRequests;
  }

  /**
   * Chooses the service of a request by the weights of its route.
   * @param route - The route.
   * @param objectKey - Names the object or the request.
   */
  chooseService(route: Route, objectKey: string): string | undefined {
    if (route.targets.length === 1) return route.targets[0]?.service;
    let split = this.splits.get(route);
    if (!split) {
      split = new WeightedSplitter(route.targets);
      this.splits.set(route, split);
    }
    return split.choose(hash32(`${route.name} ${objectKey}`) / 2 ** 32);
  }

  /**
   * Chooses an endpoint.
   * @param request - What is asked for.
   */
  select(request: SelectionRequest): Selection {
    const now = this.timers.now();
    const ids = this.placement.rank(request);
    const candidates: Candidate[] = [];
    for (const id of ids) {
      if (request.tried.has(id)) continue;
      const endpoint = this.view.endpointTable.get(id);
      if (!endpoint) continue;
      const state = this.getState(endpoint);
      if (!state.load.isUsable(now)) continue;
      candidates.push(
        this.createCandidate(endpoint, state, {
          rank: candidates.length,
          isWarm: state.warm.has(request.objectKey, now),
        }),
      );
      if (candidates.length === CANDIDATES) break;
    }
    const choice = chooseEndpoint(candidates, {
      remainingMs: request.remainingMs,
      objectiveMs: request.route.objectiveMs,
      queueLimit: QUEUE_LIMIT,
    });
    const endpoint =
      choice.id === undefined
        ? undefined
        : this.view.endpointTable.get(choice.id);
    return {
      choice,
      endpoint,
      candidate: candidates.find(({id}) => id === choice.id),
      available: candidates.length,
    };
  }

  /**
   * Counts a request that is about to be sent.
   * @param endpoint - Where it is sent.
   * @returns False where the bound of a cold endpoint forbids it.
   */
  begin(endpoint: KnownEndpoint): boolean {
    const now = this.timers.now();
    const state = this.getState(endpoint);
    if (endpoint.coldUntil > now) {
      const limit = this.getColdLimitOf(endpoint, state);
      if (!state.cold.tryAcquire(now, limit)) return false;
    } else {
      // An endpoint that turns cold later has had these requests in the same second.
      state.cold.tryAcquire(now, Infinity);
    }
    state.load.begin(now);
    return true;
  }

  /**
   * Returns what is known of an endpoint's load.
   * @param endpoint - The endpoint.
   */
  getLoad(endpoint: KnownEndpoint): EndpointLoad {
    return this.getState(endpoint).load;
  }

  /**
   * Takes over that an endpoint answered.
   * @param endpoint - The endpoint.
   * @param elapsedMs - Time from sending to the whole answer, in milliseconds.
   * @param sent - Estimated depth when it was sent, and the object.
   */
  observeAnswer(
    endpoint: KnownEndpoint,
    elapsedMs: number,
    sent: {depth: number; objectKey: string},
  ): void {
    const now = this.timers.now();
    const state = this.getState(endpoint);
    this.noteReachable(endpoint, state, now);
    const wasWarm = state.warm.has(sent.objectKey, now);
    state.warm.add(sent.objectKey, now);
    const {slots, service} = endpoint.entry;
    const ahead = Math.max(0, sent.depth - slots + 1) / Math.max(1, slots);
    const workMs = Math.max(
      1,
      (elapsedMs - this.getTravelMs(endpoint, state)) / (1 + ahead),
    );
    if (!wasWarm) {
      state.load.observeReachable(now);
      return;
    }
    state.load.observeAnswer(workMs, now);
    const before = this.serviceMs.get(service) ?? workMs;
    this.serviceMs.set(service, before + 0.05 * (workMs - before));
  }

  /**
   * Takes over that an endpoint refused a request or failed it itself.
   * @param endpoint - The endpoint.
   */
  observeRefusal(endpoint: KnownEndpoint): void {
    const now = this.timers.now();
    const state = this.getState(endpoint);
    this.noteReachable(endpoint, state, now);
    state.load.observeRefusal(now);
  }

  /**
   * Takes over that a connection to an endpoint failed.
   * @param endpoint - The endpoint.
   * @param isUnreachable - Whether no connection could be opened.
   */
  observeFailure(endpoint: KnownEndpoint, isUnreachable: boolean): void {
    const state = this.getState(endpoint);
    if (isUnreachable) state.wasUnreachable = true;
    state.load.observeFailure(isUnreachable, this.timers.now());
  }

  /**
   * Takes over the time that a connection took to open.
   * @param endpoint - The endpoint.
   * @param connectMs - The time in milliseconds.
   */
  observeConnect(endpoint: KnownEndpoint, connectMs: number): void {
    const state = this.getState(endpoint);
    const before = state.travelMs ?? connectMs;
    state.travelMs = before + WEIGHT_OF_NEW_TRAVEL * (connectMs - before);
  }

  /**
   * Returns the usual time of a request of a service, in milliseconds.
   * @param service - Name of the service.
   */
  getServiceMs(service: string): number {
    return this.serviceMs.get(service) ?? DEFAULT_SERVICE_MS;
  }

  /** Drops what is known of endpoints that are gone, and follows the demand. */
  sweep(): void {
    const open = new Map<string, number>();
    for (const [id, {load}] of this.states) {
      const service = this.view.endpointTable.get(id)?.entry.service;
      if (service === undefined) this.states.delete(id);
      else open.set(service, (open.get(service) ?? 0) + load.inFlight);
    }
    this.placement.followDemand(open);
  }

  private createCandidate(
    endpoint: KnownEndpoint,
    state: EndpointState,
    place: {rank: number; isWarm: boolean},
  ): Candidate {
    const now = this.timers.now();
    const {load, cold} = state;
    const isCold = endpoint.coldUntil > now;
    return {
      id: endpoint.entry.id,
      ...place,
      slots: endpoint.entry.slots,
      depth: load.getDepth(now),
      serviceMs:
        load.averageServiceMs || this.getServiceMs(endpoint.entry.service),
      roundTripMs: this.getTravelMs(endpoint, state),
      failureRatio: load.averageFailureRatio,
      isBlocked:
        load.inFlight >= this.getConnectionPartOf(endpoint) ||
        (isCold && !cold.canAcquire(now, this.getColdLimitOf(endpoint, state))),
    };
  }

  /** An endpoint that could not be reached may have restarted and be cold. */
  private noteReachable(
    endpoint: KnownEndpoint,
    state: EndpointState,
    now: number,
  ): void {
    if (!state.wasUnreachable) return;
    state.wasUnreachable = false;
    const coldMs = this.getService(endpoint.entry.service)?.coldMs ?? 0;
    this.view.endpointTable.extendCold(endpoint.entry.id, now + coldMs);
  }

  private getColdLimitOf(
    endpoint: KnownEndpoint,
    state: EndpointState,
  ): number {
    const {bounds, regionsByZone} = this.settings;
    const service = this.getService(endpoint.entry.service);
    const region = regionsByZone.get(endpoint.entry.zone);
    if (!service || service.coldPerSecond <= 0) return Infinity;
    return getColdRateLimit(
      {
        perSecond: service.coldPerSecond * bounds.coldFactor + bounds.coldSlack,
      },
      {
        instances: this.members.getLimitDivisor(this.timers.now()),
        getRank: () => this.getRank(state, region),
      },
    );
  }

  private getRank(state: EndpointState, region: string | undefined): number {
    const {version} = this.members;
    if (state.rank?.version !== version) {
      const value = this.members.getRankFor(state.hash, region);
      state.rank = {value, version};
    }
    return state.rank.value;
  }

  /** A connection carries one request at a time. */
  private getConnectionPartOf(endpoint: KnownEndpoint): number {
    const service = this.getService(endpoint.entry.service);
    return getConnectionQuota(
      service?.maxConnections ?? 0,
      this.members.getCount(),
    );
  }

  private getService(name: string) {
    return this.view.configuration?.services.get(name);
  }

  private getTravelMs(endpoint: KnownEndpoint, state: EndpointState): number {
    if (state.travelMs !== undefined) return state.travelMs;
    const {zone} = endpoint.entry;
    if (zone === this.settings.zone) return DEFAULT_TRAVEL_MS.zone;
    const isSameRegion =
      this.settings.regionsByZone.get(zone) === this.settings.region;
    return isSameRegion ? DEFAULT_TRAVEL_MS.region : DEFAULT_TRAVEL_MS.world;
  }

  private getState(endpoint: KnownEndpoint): EndpointState {
    const {id, bornAt} = endpoint.entry;
    let state = this.states.get(id);
    if (!state || state.bornAt !== bornAt) {
      state = {
        load: new EndpointLoad(),
        cold: state?.cold ?? new ColdRateLimiter(),
        warm: new WarmObjects(),
        hash: hash32(id),
        bornAt,
        wasUnreachable: false,
      };
      this.states.set(id, state);
    }
    return state;
  }
}
