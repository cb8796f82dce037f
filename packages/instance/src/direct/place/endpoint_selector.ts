import type {TimerService} from '@primrosestage/common';
import {
  type Candidate,
  chooseEndpoint,
  combineToFraction,
  type ChoiceOptions,
  type ControlView,
  EndpointLoad,
  type EndpointNotices,
  type EndpointChoice,
  getColdRateLimit,
  getConnectionQuota,
  hash32,
  type KnownEndpoint,
  type MemberTable,
  PriorityDemand,
  type RequestTerms,
  type Route,
  ServiceTime,
  WeightedSplitter,
} from '@primrosestage/steering';
import type {DirectSettings} from '../direct_settings.js';
import {type EndpointState, EndpointStates} from './endpoint_states.js';
import {ObjectPlacement} from './object_placement.js';
import {PermitResult, type RatePermits} from '../limits/rate_permits.js';

/**
 * Most endpoints among which the requests for one object are spread. If all of them are limited, the
 * next one that is not replaces them.
 */
const MAX_CANDIDATES = 3;
/** Most requests that may be queued at an endpoint beyond its slots. */
const QUEUE_LIMIT = 5;
/** Service time that is assumed before any measurement, in milliseconds. */
const DEFAULT_SERVICE_MS = 150;

/** Conditions of a request that runs in at least one region. */
export interface SelectionTerms extends RequestTerms {
  homeRegions: readonly string[];
}

/** Describes a request for which an endpoint is selected. */
export interface SelectionRequest {
  route: Route;
  terms: SelectionTerms;
  service: string;
  /** Key of the object, or the request id if the request names no object. */
  objectKey: string;
  /** Ids of endpoints to which the request has already been sent. */
  tried: ReadonlySet<string>;
  remainingMs: number;
}

/** The selected endpoint with the data on which the choice was based. */
export interface Selection {
  choice: EndpointChoice;
  endpoint?: KnownEndpoint;
  candidate?: Candidate;
  /** Number of candidates that were considered. */
  candidateCount: number;
  /** Ids of the candidates that are excluded by their rate limits. */
  limited: string[];
}

/** What excludes endpoints from the choice of this instance. */
export interface EndpointConstraints {
  /** The permits for requests to limited endpoints. */
  permits: RatePermits;
  /** Endpoints that leave, or want no requests for some time. */
  notices: EndpointNotices;
}

/** Whether a request may be sent to the selected endpoint. */
export enum BeginResult {
  Begun = 'begun',
  /** The rate limit of a cold endpoint forbids it. */
  Cold = 'cold',
  /** There is no permit of a limited endpoint, which cannot be selected for some time. */
  NoPermit = 'no-permit',
  /** A permit has been requested; the endpoint cannot be selected until the reply. */
  PermitRequested = 'permit-requested',
}

/** Selects endpoints by the control view and the measurements of this instance. */
export class EndpointSelector {
  private readonly states: EndpointStates;
  private readonly splitters = new WeakMap<Route, WeightedSplitter>();
  private readonly serviceTimes = new Map<string, ServiceTime>();
  private readonly placement: ObjectPlacement;
  private readonly priorityDemands = new Map<string, PriorityDemand>();
  /** Varies the spread of popular objects from request to request. */
  private selectionCount: number;

  /**
   * Creates the selector.
   * @param settings - Zone and region of this instance, and bounds.
   * @param view - Endpoints, configuration and evacuated zones.
   * @param members - The instances among which the bounds are divided.
   * @param constraints - What excludes endpoints.
   * @param timers - The clock.
   */
  constructor(
    private readonly settings: DirectSettings,
    private readonly view: ControlView,
    private readonly members: MemberTable,
    private readonly constraints: EndpointConstraints,
    private readonly timers: TimerService,
  ) {
    this.selectionCount = hash32(settings.id);
    this.states = new EndpointStates(settings);
    this.placement = new ObjectPlacement(settings, view, members, timers);
  }

  /** Moving averages of the requests that this instance has open, by service. */
  get averageOpenRequests(): Readonly<Record<string, number>> {
    return this.placement.averageOpenRequests;
  }

  /** Number of objects with more than one endpoint, by service. */
  get popularObjectCounts(): ReadonlyMap<string, number> {
    return this.placement.popularObjectCounts;
  }

  /**
   * Chooses the service of a request by the weights of its route.
   * @param route - The route.
   * @param objectKey - Key of the object, or the request id.
   */
  chooseService(route: Route, objectKey: string): string | undefined {
    if (route.targets.length === 1) return route.targets[0]?.service;
    let splitter = this.splitters.get(route);
    if (!splitter) {
      splitter = new WeightedSplitter(route.targets);
      this.splitters.set(route, splitter);
    }
    return splitter.choose(hash32(`${route.name} ${objectKey}`) / 2 ** 32);
  }

  /**
   * Selects an endpoint for a request.
   * @param request - The request, its object and the endpoints tried before.
   */
  select(request: SelectionRequest): Selection {
    const now = this.timers.now();
    const {permits, notices} = this.constraints;
    const {service, objectKey, terms} = request;
    const object = {service, objectKey, homeRegions: terms.homeRegions};
    if (request.tried.size === 0) {
      this.placement.countRequest(object, this.getServiceMs(service));
    }
    const endpointCount = this.placement.getEndpointCount(object);
    const ids = this.placement.rank(object);
    this.selectionCount++;
    let shortestWaitMs = Infinity;
    const candidates: Candidate[] = [];
    const limited: string[] = [];
    for (const id of ids) {
      if (request.tried.has(id)) continue;
      const endpoint = this.view.endpointTable.get(id);
      if (!endpoint) continue;
      const state = this.states.get(endpoint);
      if (!state.load.isUsable(now)) continue;
      const waitMs = notices.getWaitMs(endpoint.entry, now);
      if (waitMs > 0) {
        shortestWaitMs = Math.min(shortestWaitMs, waitMs);
        continue;
      }
      const rank = candidates.length + limited.length;
      if (rank >= MAX_CANDIDATES && candidates.length > 0) break;
      if (permits.isBlocked(endpoint)) {
        limited.push(id);
        continue;
      }
      candidates.push(
        this.createCandidate(endpoint, state, {
          rank,
          isWarm: state.warmObjects.has(objectKey, now),
          spread:
            endpointCount > 1 && rank < endpointCount
              ? combineToFraction(this.selectionCount, state.idHash)
              : undefined,
        }),
      );
    }
    if (candidates.every(({isBlocked}) => isBlocked)) {
      candidates.push(...this.getLeastSuspect(ids, request, now));
    }
    const options: ChoiceOptions = {
      remainingMs: request.remainingMs,
      objectiveMs: request.route.objectiveMs,
      queueLimit: QUEUE_LIMIT,
      reservedObjectiveMs: this.getPriorityDemand(
        request.service,
      ).getReservedObjectiveMs(request.terms.priority, now),
      shortestWaitMs,
    };
    let choice = chooseEndpoint(candidates, options);
    if (choice.id === undefined && this.mayStartTrial(request, now)) {
      const unlimited = {...options, remainingMs: Infinity};
      choice = chooseEndpoint(candidates, unlimited);
    }
    const endpoint =
      choice.id === undefined
        ? undefined
        : this.view.endpointTable.get(choice.id);
    return {
      choice,
      endpoint,
      candidate: candidates.find(({id}) => id === choice.id),
      candidateCount: candidates.length,
      limited,
    };
  }

  /**
   * Counts a request for a service, for which an endpoint has not been selected yet.
   * @param request - The service, the route and the terms of the request.
   */
  countOffered({
    service,
    route,
    terms,
  }: Pick<SelectionRequest, 'service' | 'route' | 'terms'>): void {
    this.getPriorityDemand(service).countOffered(
      terms.priority,
      route.objectiveMs,
      this.timers.now(),
    );
  }

  /**
   * Counts a request whose first attempt has been started.
   * @param request - The service and the terms of the request.
   */
  countAdmitted({
    service,
    terms,
  }: Pick<SelectionRequest, 'service' | 'terms'>): void {
    this.getPriorityDemand(service).countAdmitted(
      terms.priority,
      this.timers.now(),
    );
  }

  /**
   * Counts a request that is about to be sent, if the rate limits of the endpoint permit it.
   * @param endpoint - The endpoint to which it is sent.
   */
  begin(endpoint: KnownEndpoint): BeginResult {
    const now = this.timers.now();
    const state = this.states.get(endpoint);
    // Requests to a warm endpoint are counted because they are within the window if it turns cold.
    const coldLimit =
      endpoint.coldUntil > now
        ? this.getColdLimitFor(endpoint, state)
        : Infinity;
    if (!state.coldRateLimiter.canAcquire(now, coldLimit)) {
      return BeginResult.Cold;
    }
    const permit = this.constraints.permits.tryTake(endpoint);
    if (permit === PermitResult.Denied) return BeginResult.NoPermit;
    if (permit === PermitResult.Requested) return BeginResult.PermitRequested;
    state.coldRateLimiter.tryAcquire(now, coldLimit);
    state.load.begin(now);
    return BeginResult.Begun;
  }

  /**
   * Returns the load statistics of an endpoint.
   * @param endpoint - The endpoint.
   */
  getLoad(endpoint: KnownEndpoint): EndpointLoad {
    return this.states.get(endpoint).load;
  }

  /**
   * Records a response of an endpoint. Only requests for recently served objects enter the service
   * time.
   * @param endpoint - The endpoint.
   * @param elapsedMs - Time from sending to the complete response, in milliseconds.
   * @param sent - Estimated queue depth when the request was sent, the key of its object, and the
   *     work factor that the endpoint stated with the response.
   */
  observeResponse(
    endpoint: KnownEndpoint,
    elapsedMs: number,
    sent: {depth: number; objectKey: string; workFactor?: number},
  ): void {
    const now = this.timers.now();
    const state = this.states.get(endpoint);
    this.handleRecovery(endpoint, state, now);
    const wasWarm = state.warmObjects.has(sent.objectKey, now);
    state.warmObjects.add(sent.objectKey, now);
    const {slots, service} = endpoint.entry;
    const ahead = Math.max(0, sent.depth - slots + 1) / Math.max(1, slots);
    const workMs = Math.max(
      1,
      (elapsedMs - this.states.getRoundTripMs(endpoint)) / (1 + ahead),
    );
    const usualMs = workMs / (sent.workFactor ?? 1);
    const serviceTime = this.serviceTimes.get(service) ?? new ServiceTime();
    if (!wasWarm && !serviceTime.isFarBelowAverage(usualMs)) {
      state.load.observeReachable(now);
      return;
    }
    this.serviceTimes.set(service, serviceTime);
    serviceTime.observe(usualMs);
    state.load.observeAnswer(usualMs, now, serviceTime.value);
  }

  /**
   * Records that an endpoint refused a request or responded with a server error.
   * @param endpoint - The endpoint.
   */
  observeRefusal(endpoint: KnownEndpoint): void {
    const now = this.timers.now();
    const state = this.states.get(endpoint);
    this.handleRecovery(endpoint, state, now);
    state.load.observeRefusal(now);
  }

  /**
   * Records that a connection to an endpoint failed.
   * @param endpoint - The endpoint.
   * @param isUnreachable - Whether no connection could be opened.
   */
  observeFailure(endpoint: KnownEndpoint, isUnreachable: boolean): void {
    const state = this.states.get(endpoint);
    if (isUnreachable) state.wasUnreachable = true;
    state.load.observeFailure(isUnreachable, this.timers.now());
  }

  /**
   * Records the time taken to open a connection, as a sample of the round-trip time.
   * @param endpoint - The endpoint.
   * @param connectMs - The time in milliseconds.
   */
  observeConnect(endpoint: KnownEndpoint, connectMs: number): void {
    this.states.observeConnect(endpoint, connectMs);
  }

  /**
   * Returns the average service time of a service's requests, in milliseconds.
   * @param service - Name of the service.
   */
  getServiceMs(service: string): number {
    return this.serviceTimes.get(service)?.value ?? DEFAULT_SERVICE_MS;
  }

  /** Discards the state of removed endpoints and updates the demand. */
  sweep(): void {
    const open = new Map<string, number>();
    for (const [id, {load}] of this.states) {
      const service = this.view.endpointTable.get(id)?.entry.service;
      if (service === undefined) this.states.delete(id);
      else open.set(service, (open.get(service) ?? 0) + load.inFlight);
    }
    this.placement.updateDemand(open);
  }

  /**
   * Returns the endpoint that is the least suspect of failing, for the case that no healthy one is
   * left; none if no endpoint is reachable.
   */
  private getLeastSuspect(
    ids: readonly string[],
    {tried, objectKey}: SelectionRequest,
    now: number,
  ): Candidate[] {
    const {permits, notices} = this.constraints;
    let least: {endpoint: KnownEndpoint; state: EndpointState} | undefined;
    let leastSuspicion = Infinity;
    for (const id of ids) {
      const endpoint = this.view.endpointTable.get(id);
      if (!endpoint || tried.has(id) || permits.isBlocked(endpoint)) continue;
      const state = this.states.get(endpoint);
      const suspicion = state.load.getSuspicion(now);
      if (state.load.isUsable(now) || suspicion >= leastSuspicion) continue;
      if (notices.getWaitMs(endpoint.entry, now) > 0) continue;
      least = {endpoint, state};
      leastSuspicion = suspicion;
    }
    if (!least) return [];
    const isWarm = least.state.warmObjects.has(objectKey, now);
    const position = {rank: 0, isWarm};
    return [this.createCandidate(least.endpoint, least.state, position)];
  }

  /**
   * Limits trials to requests that are refused for the measured time rather than for a queue, and
   * that leave an endpoint of usual speed time to respond.
   */
  private mayStartTrial(
    {service, remainingMs, tried}: SelectionRequest,
    now: number,
  ): boolean {
    if (remainingMs < DEFAULT_SERVICE_MS || tried.size > 0) return false;
    if (this.getServiceMs(service) < remainingMs / 2) return false;
    return this.serviceTimes.get(service)?.tryStartTrial(now) ?? false;
  }

  private createCandidate(
    endpoint: KnownEndpoint,
    state: EndpointState,
    position: Pick<Candidate, 'rank' | 'isWarm' | 'spread'>,
  ): Candidate {
    const now = this.timers.now();
    const {load, coldRateLimiter} = state;
    const isCold = endpoint.coldUntil > now;
    return {
      id: endpoint.entry.id,
      ...position,
      slots: endpoint.entry.slots,
      depth: load.getDepth(now),
      averageDepth: load.getAverageDepth(now),
      serviceMs:
        load.getWorkFactor(now) *
        load.getServiceMs(this.getServiceMs(endpoint.entry.service), now),
      roundTripMs: this.states.getRoundTripMs(endpoint),
      failureRatio: load.averageFailureRatio,
      isBlocked:
        load.inFlight >= this.getConnectionLimit(endpoint) ||
        (isCold &&
          !coldRateLimiter.canAcquire(
            now,
            this.getColdLimitFor(endpoint, state),
          )),
    };
  }

  /** Treats an endpoint that was unreachable as cold again, since it may have restarted. */
  private handleRecovery(
    endpoint: KnownEndpoint,
    state: EndpointState,
    now: number,
  ): void {
    if (!state.wasUnreachable) return;
    state.wasUnreachable = false;
    const coldMs = this.getService(endpoint.entry.service)?.coldMs ?? 0;
    this.view.endpointTable.extendCold(endpoint.entry.id, now + coldMs);
  }

  private getColdLimitFor(
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
      const value = this.members.getRankFor(state.idHash, region);
      state.rank = {value, version};
    }
    return state.rank.value;
  }

  /** Returns the share of connections of this instance; each carries one request at a time. */
  private getConnectionLimit(endpoint: KnownEndpoint): number {
    const service = this.getService(endpoint.entry.service);
    return getConnectionQuota(
      service?.maxConnections ?? 0,
      this.members.getLimitDivisor(this.timers.now()),
    );
  }

  private getPriorityDemand(service: string): PriorityDemand {
    let demand = this.priorityDemands.get(service);
    if (!demand) {
      demand = new PriorityDemand();
      this.priorityDemands.set(service, demand);
    }
    return demand;
  }

  private getService(name: string) {
    return this.view.configuration?.services.get(name);
  }
}
