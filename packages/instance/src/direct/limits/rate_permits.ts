import type {TimerService} from '@primrosestage/common';
import type {
  EndpointEntry,
  EndpointLimits,
  KnownEndpoint,
  LimitObservation,
} from '@primrosestage/steering';
import type {DirectSettings} from '../direct_settings.js';
import type {LimitCoordinator} from './limit_coordinator.js';
import type {LimitTracker} from './limit_tracker.js';
import {PermitEvent} from './permit_event.js';
import {
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
  limits: EndpointLimits;
  tracker: LimitTracker;
  coordinator: LimitCoordinator;
  timers: TimerService;
  /** Sends a datagram to another instance, which may lose it. */
  send: (request: PermitRequest, address: string) => void;
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
 * Keeps the requests of this instance within the rate limits that endpoints state. One instance
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
    this.options.tracker.countPermits(
      limit.id,
      isGranted ? PermitEvent.Granted : PermitEvent.Denied,
    );
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
   * Handles the reply of a coordinator.
   * @param reply - The reply.
   */
  receiveReply(reply: PermitReply): void {
    const permits = this.endpoints.get(reply.endpoint);
    const pending = permits?.pending;
    if (!permits || pending?.number !== reply.number) return;
    if (reply.granted > 0) {
      const validUntil = pending.sentAt + PERMIT_VALIDITY_MS;
      for (let i = 0; i < reply.granted; i++) {
        permits.validUntil.push(validUntil);
      }
      this.options.tracker.countPermits(
        reply.endpoint,
        PermitEvent.Granted,
        reply.granted,
      );
    } else {
      permits.blockedUntil = this.options.timers.now() + reply.retryAfterMs;
      this.options.tracker.countPermits(reply.endpoint, PermitEvent.Denied);
    }
    finishPending(permits);
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
      this.options.tracker.countPermits(limit.id, PermitEvent.TimedOut);
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
