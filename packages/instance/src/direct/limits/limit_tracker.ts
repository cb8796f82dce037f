import type {EventLogger, TimerService} from '@primrosestage/common';
import {
  type EndpointLimits,
  type EndpointTable,
  type KnownEndpoint,
  type LimitChange,
  type LimitObservation,
  parseRateLimit,
  type SharedLimit,
} from '@primrosestage/steering';
import type {DirectMetrics} from '../direct_metrics.js';
import type {LimitCoordinator} from './limit_coordinator.js';
import type {LimitRecord} from './limit_record.js';
import type {PermitEvent} from './permit_event.js';

/** Minimum time between two log lines about invalid limits of endpoints, in milliseconds. */
const INVALID_LOG_INTERVAL_MS = 1_000;
/** Longest invalid value that a log line contains, in characters. */
const MAX_LOGGED_VALUE = 40;

/** Configures the tracking of rate limits. */
export interface LimitTrackerOptions {
  /** Id of this instance. */
  instance: string;
  limits: EndpointLimits;
  coordinator: LimitCoordinator;
  timers: TimerService;
  logger: EventLogger;
  metrics: DirectMetrics;
  /** Tells other instances at once of a change that a response to this instance stated. */
  announce: () => void;
}

/** What a response of an endpoint states of its rate limit. Times are monotonic, in milliseconds. */
export interface LimitStatement {
  /** Value of the rate limit header; undefined without one. */
  limit: string | undefined;
  /** Whether the endpoint ran the request without an error. */
  isSuccess: boolean;
  /** Time at which the request was sent. */
  startedAt: number;
  /** Time at which the head of the response arrived. */
  respondedAt: number;
}

/**
 * Reads the rate limits that endpoints state in their responses, merges those that other instances
 * have read, and logs changes and use.
 */
export class LimitTracker {
  private readonly uses = new Map<
    string,
    Partial<Record<PermitEvent, number>>
  >();
  private invalidLoggedAt = -Infinity;
  private invalidCount = 0;

  constructor(private readonly options: LimitTrackerOptions) {}

  /**
   * Records what a response stated of the endpoint's rate limit. An invalid value changes nothing.
   * @param endpoint - The endpoint.
   * @param response - The response.
   */
  observeResponse(
    {entry}: KnownEndpoint,
    {limit, isSuccess, startedAt, respondedAt}: LimitStatement,
  ): void {
    const perSecond = limit === undefined ? undefined : parseRateLimit(limit);
    if (limit !== undefined && perSecond === undefined) {
      this.reportInvalid(entry.id, limit);
      return;
    }
    // Refusals, errors and responses to requests that were sent before the endpoint stated its limit
    // may lack the header although the limit holds.
    const statedAt = this.options.limits.getLatest(entry.id)?.observedAt;
    const mayEnd = isSuccess && startedAt > (statedAt ?? -Infinity);
    if (perSecond === undefined && !mayEnd) return;
    this.observe({
      id: entry.id,
      bornAt: entry.bornAt,
      perSecond,
      observedAt: respondedAt,
      from: this.options.instance,
    });
  }

  /**
   * Merges limits that other instances have read.
   * @param shared - The limits.
   */
  merge(shared: readonly SharedLimit[]): void {
    const {limits, timers} = this.options;
    const changes = limits.merge(shared, timers.now());
    for (const change of changes) this.reportChange(change);
  }

  /**
   * Describes the limit in force of an endpoint for a log line.
   * @param endpoint - The endpoint.
   * @returns The limit, or undefined if there is none.
   */
  describe({entry}: KnownEndpoint): LimitRecord | undefined {
    const {limits, coordinator, timers} = this.options;
    const limit = limits.get(entry.id, entry.bornAt);
    if (!limit) return undefined;
    return {
      perSecond: limit.perSecond,
      ageMs: Math.round(timers.now() - limit.observedAt),
      from: limit.from,
      coordinator: coordinator.getCoordinator(entry).id,
    };
  }

  /**
   * Counts permits for the metrics and the next log line about the use of a limit.
   * @param endpoint - Id of the endpoint.
   * @param event - What happened to the permits.
   * @param number - Number of permits.
   */
  countPermits(endpoint: string, event: PermitEvent, number = 1): void {
    this.options.metrics.ratePermits.inc({result: event}, number);
    const use = this.uses.get(endpoint) ?? {};
    this.uses.set(endpoint, use);
    use[event] = (use[event] ?? 0) + number;
  }

  /**
   * Logs this instance's part in the use of each limit since the last call.
   * @param endpoints - The known endpoints.
   */
  reportUse(endpoints: EndpointTable): void {
    for (const [id, permits] of this.uses) {
      const endpoint = endpoints.get(id);
      const limit = endpoint && this.describe(endpoint);
      this.options.logger.info('endpoint limit used', {
        endpoint: id,
        ...limit,
        permits,
      });
    }
    this.uses.clear();
  }

  /**
   * Discards the limits of endpoints that are gone.
   * @param endpoints - The known endpoints.
   */
  prune(endpoints: EndpointTable): void {
    const {limits, metrics} = this.options;
    for (const id of limits.prune(each => endpoints.get(each) !== undefined)) {
      metrics.endpointLimit.remove({endpoint: id});
    }
  }

  private observe(observation: LimitObservation): void {
    const {limits, timers, announce} = this.options;
    const change = limits.observe(observation, timers.now());
    if (!change) return;
    this.reportChange(change);
    // A raised limit may reach the others with the next round of gossip.
    const {perSecond = Infinity} = observation;
    const {previousPerSecond = Infinity} = change;
    if (perSecond < previousPerSecond || perSecond === Infinity) announce();
  }

  private reportChange({observation, previousPerSecond}: LimitChange): void {
    const {timers, logger, metrics} = this.options;
    const {id, perSecond, observedAt, from} = observation;
    if (perSecond === undefined) metrics.endpointLimit.remove({endpoint: id});
    else metrics.endpointLimit.set({endpoint: id}, perSecond);
    logger.info('endpoint limit changed', {
      endpoint: id,
      perSecond: perSecond ?? 'none',
      previousPerSecond: previousPerSecond ?? 'none',
      from,
      ageMs: Math.round(timers.now() - observedAt),
    });
  }

  private reportInvalid(endpoint: string, value: string): void {
    const {timers, logger} = this.options;
    this.invalidCount++;
    const now = timers.now();
    if (now - this.invalidLoggedAt < INVALID_LOG_INTERVAL_MS) return;
    this.invalidLoggedAt = now;
    logger.warn('endpoint limit ignored', {
      endpoint,
      value: value.slice(0, MAX_LOGGED_VALUE),
      ignored: this.invalidCount,
    });
  }
}
