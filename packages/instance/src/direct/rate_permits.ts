import type {TimerService} from '@primrosestage/common';
import type {
  ControlView,
  EndpointEntry,
  EndpointLimits,
  KnownEndpoint,
  LimitObservation,
} from '@primrosestage/steering';
import type {DirectMetrics} from './direct_metrics.js';
import type {DirectSettings} from './direct_settings.js';
import type {LimitCoordinator} from './limit_coordinator.js';
import type {LimitTracker} from './limit_tracker.js';
import {PermitEvent} from './permit_event.js';
import {
  type PermitMessage,
  PermitMessageType,
  type PermitReply,
  type PermitRequest,
} from './permit_message.js';

/** Time after which a request for a permit is given up, in milliseconds. */
const REPLY_TIMEOUT_MS = 300;
/** Time for which no permit is requested after a request without a reply, in milliseconds. */
const NO_REPLY_BACKOFF_MS = 500;
/** Time for which a permit may be used, from the request for it, in milliseconds. */
const PERMIT_VALIDITY_MS = 1_000;
/** Longest time for which a request of a caller waits for a permit, in milliseconds. */
const MAX_WAIT_MS = 25;
/** Window in which the requests for which an endpoint is selected are counted, in milliseconds. */
const DEMAND_WINDOW_MS = 2_000;
/**
 * Requests in the window before a distant coordinator is asked. Its permit arrives too late for the
 * request that asks, and is lost if no other one follows.
 */
const MIN_DISTANT_DEMAND = 4;
/** Most permits per message, as a fraction of the requests in the window. */
const BATCH_DEMAND_FRACTION = 0.25;
/** Most permits per message, in seconds of the whole limit. */
const BATCH_LIMIT_S = 0.05;
/** Time for which an endpoint is not selected after a coordinator was not asked, in milliseconds. */
const NOT_ASKED_BACKOFF_MS = 5;
/** Time until another try if the asked instance cannot decide, in milliseconds. */
const UNDECIDED_RETRY_MS = 300;

/** Result of taking a permit. */
export enum PermitResult {
  /** The endpoint states no limit. */
  NotLimited = 'not-limited',
  Granted = 'granted',
  Denied = 'denied',
  /** The coordinator has been asked and has not replied yet. */
  Requested = 'requested',
}

/** Configures the permits of limited endpoints. */
export interface RatePermitsOptions {
  settings: DirectSettings;
  view: ControlView;
  limits: EndpointLimits;
  tracker: LimitTracker;
  coordinator: LimitCoordinator;
  timers: TimerService;
  metrics: DirectMetrics;
  /** Sends a datagram to another instance, which may lose it. */
  send: (message: PermitMessage, address: string) => void;
}

/** A request for a permit that has no reply yet. */
interface PendingRequest {
  number: number;
  sentAt: number;
  timeout: Disposable;
  /** Resolves with the reply or its timeout. */
  done: Promise<void>;
  finish: () => void;
}

/** Permits of this instance for one limited endpoint. */
interface EndpointPermits {
  bornAt: number;
  /** Times until which the permits in hand are valid. */
  validUntil: number[];
  blockedUntil: number;
  /** Times at which the endpoint was selected, in the demand window. */
  wantedAt: number[];
  pending?: PendingRequest;
}

/**
 * Keeps the requests of all instances within the rate limits that endpoints state. One instance
 * coordinates each limited endpoint and issues permits to send it one request each; the others ask
 * it for them. Requests without a permit go to other endpoints.
 */
export class RatePermits implements Disposable {
  private readonly endpoints = new Map<string, EndpointPermits>();
  private requestCount = 0;

  constructor(private readonly options: RatePermitsOptions) {}

  /**
   * Returns whether no request may be sent to an endpoint at present because of its limit.
   * @param endpoint - The endpoint.
   */
  isBlocked({entry}: KnownEndpoint): boolean {
    const {limits, coordinator, timers} = this.options;
    const limit = limits.get(entry.id, entry.bornAt);
    if (!limit) return false;
    const permits = this.getPermits(limit);
    const now = timers.now();
    if (hasPermit(permits, now)) return false;
    if (permits.pending || now < permits.blockedUntil) return true;
    if (!coordinator.isCoordinator(entry)) return false;
    return coordinator.getWaitMs(entry, limit.perSecond) > 0;
  }

  /**
   * Takes a permit for one request to an endpoint, or asks the coordinator for one.
   * @param endpoint - The endpoint.
   */
  tryTake({entry}: KnownEndpoint): PermitResult {
    const {limits, coordinator, timers} = this.options;
    const limit = limits.get(entry.id, entry.bornAt);
    if (!limit) return PermitResult.NotLimited;
    const permits = this.getPermits(limit);
    const now = timers.now();
    countDemand(permits, now);
    if (hasPermit(permits, now)) {
      permits.validUntil.shift();
      return PermitResult.Granted;
    }
    if (permits.pending) return PermitResult.Requested;
    if (now < permits.blockedUntil) return PermitResult.Denied;
    if (!coordinator.isCoordinator(entry)) {
      return this.requestIfUseful(limit, permits, entry);
    }
    const isGranted = coordinator.issue(1, entry, limit.perSecond) > 0;
    this.count(limit.id, isGranted ? PermitEvent.Granted : PermitEvent.Denied);
    return isGranted ? PermitResult.Granted : PermitResult.Denied;
  }

  /**
   * Waits for the reply of an endpoint's coordinator if it is near enough for a caller to wait.
   * @param endpoint - The endpoint.
   */
  async waitForReply(endpoint: KnownEndpoint): Promise<void> {
    const {timers} = this.options;
    const pending = this.endpoints.get(endpoint.entry.id)?.pending;
    if (!pending || !this.isCoordinatorNear(endpoint)) return;
    await new Promise<void>(resolve => {
      const timeout = timers.after(MAX_WAIT_MS, resolve);
      void pending.done.then(() => {
        timeout[Symbol.dispose]();
        resolve();
      });
    });
  }

  /**
   * Returns whether an endpoint's coordinator is near enough for a caller to wait for its reply.
   * @param endpoint - The endpoint.
   */
  isCoordinatorNear({entry}: KnownEndpoint): boolean {
    const {settings, coordinator} = this.options;
    return coordinator.getCoordinator(entry).region === settings.region;
  }

  /**
   * Handles a datagram of another instance.
   * @param message - The datagram.
   */
  receive(message: PermitMessage): void {
    if (message.type === PermitMessageType.Reply) this.receiveReply(message);
    else this.receiveRequest(message);
  }

  /** Discards the permits of endpoints that state no limit any more. */
  prune(): void {
    const {limits, coordinator} = this.options;
    for (const [id, permits] of this.endpoints) {
      if (limits.get(id, permits.bornAt)) continue;
      finishPending(permits);
      this.endpoints.delete(id);
    }
    coordinator.prune((id, bornAt) => limits.get(id, bornAt) !== undefined);
  }

  [Symbol.dispose](): void {
    for (const permits of this.endpoints.values()) finishPending(permits);
  }

  private getPermits({id, bornAt}: LimitObservation): EndpointPermits {
    let permits = this.endpoints.get(id);
    if (!permits || permits.bornAt !== bornAt) {
      if (permits) finishPending(permits);
      permits = {bornAt, validUntil: [], blockedUntil: -Infinity, wantedAt: []};
      this.endpoints.set(id, permits);
    }
    return permits;
  }

  private requestIfUseful(
    limit: Required<LimitObservation>,
    permits: EndpointPermits,
    entry: EndpointEntry,
  ): PermitResult {
    const {settings, coordinator, timers} = this.options;
    const {region, gossipAddress} = coordinator.getCoordinator(entry);
    const isNear = region === settings.region;
    if (!isNear && permits.wantedAt.length < MIN_DISTANT_DEMAND) {
      permits.blockedUntil = timers.now() + NOT_ASKED_BACKOFF_MS;
      return PermitResult.Denied;
    }
    this.request(limit, permits, gossipAddress);
    return PermitResult.Requested;
  }

  private request(
    {observedAt, ...limit}: Required<LimitObservation>,
    permits: EndpointPermits,
    address: string,
  ): void {
    const {settings, timers, send} = this.options;
    const now = timers.now();
    const number = ++this.requestCount;
    let finish = () => {};
    const done = new Promise<void>(resolve => (finish = resolve));
    const timeout = timers.after(REPLY_TIMEOUT_MS, () => {
      permits.blockedUntil = timers.now() + NO_REPLY_BACKOFF_MS;
      this.count(limit.id, PermitEvent.TimedOut);
      finishPending(permits);
    });
    permits.pending = {number, sentAt: now, timeout, done, finish};
    send(
      {
        type: PermitMessageType.Request,
        number,
        replyAddress: settings.gossipAddress,
        max: getBatchSize(permits.wantedAt.length, limit.perSecond),
        limit: {...limit, ageMs: Math.round(now - observedAt)},
      },
      address,
    );
  }

  private receiveReply(reply: PermitReply): void {
    const permits = this.endpoints.get(reply.endpoint);
    const pending = permits?.pending;
    if (!permits || pending?.number !== reply.number) return;
    if (reply.granted > 0) {
      const validUntil = pending.sentAt + PERMIT_VALIDITY_MS;
      for (let i = 0; i < reply.granted; i++) {
        permits.validUntil.push(validUntil);
      }
      this.count(reply.endpoint, PermitEvent.Granted, reply.granted);
    } else {
      permits.blockedUntil = this.options.timers.now() + reply.retryAfterMs;
      this.count(reply.endpoint, PermitEvent.Denied);
    }
    finishPending(permits);
  }

  private receiveRequest(request: PermitRequest): void {
    const {tracker, send} = this.options;
    const {number, limit, replyAddress} = request;
    tracker.merge([limit]);
    send(
      {
        type: PermitMessageType.Reply,
        number,
        endpoint: limit.id,
        ...this.decide(request),
      },
      replyAddress,
    );
  }

  private decide({
    max,
    limit: {id, bornAt},
  }: PermitRequest): Pick<PermitReply, 'granted' | 'retryAfterMs'> {
    const {view, limits, coordinator} = this.options;
    const entry = view.endpointTable.get(id)?.entry;
    const latest = limits.getLatest(id);
    const undecided = {granted: 0, retryAfterMs: UNDECIDED_RETRY_MS};
    if (entry?.bornAt !== bornAt || latest?.bornAt !== bornAt) return undecided;
    const {perSecond} = latest;
    // The limit has ended, which the response to the request will show the other instance.
    if (perSecond === undefined) return {granted: 1, retryAfterMs: 0};
    if (!coordinator.isCoordinator(entry)) return undecided;
    const granted = coordinator.issue(max, entry, perSecond);
    if (granted === 0) {
      const retryAfterMs = coordinator.getWaitMs(entry, perSecond);
      return {granted, retryAfterMs};
    }
    this.count(id, PermitEvent.Issued, granted);
    return {granted, retryAfterMs: 0};
  }

  private count(endpoint: string, event: PermitEvent, number = 1): void {
    this.options.tracker.countPermits(endpoint, event, number);
    this.options.metrics.ratePermits.inc({result: event}, number);
  }
}

function countDemand(permits: EndpointPermits, now: number): void {
  const since = now - DEMAND_WINDOW_MS;
  permits.wantedAt = permits.wantedAt.filter(at => at > since);
  permits.wantedAt.push(now);
}

/** High limits need several permits per message; those that are not used in time are lost. */
function getBatchSize(demand: number, perSecond: number): number {
  const max = Math.min(
    demand * BATCH_DEMAND_FRACTION,
    perSecond * BATCH_LIMIT_S,
  );
  return Math.max(1, Math.floor(max));
}

function finishPending(permits: EndpointPermits): void {
  const {pending} = permits;
  permits.pending = undefined;
  pending?.timeout[Symbol.dispose]();
  pending?.finish();
}

/** Removes the permits that have expired, and returns whether there is one left. */
function hasPermit(permits: EndpointPermits, now: number): boolean {
  permits.validUntil = permits.validUntil.filter(until => until > now);
  return permits.validUntil.length > 0;
}
