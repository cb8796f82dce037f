import type {EventLogger, TimerService} from '@primrosestage/common';
import {
  type EndpointLimits,
  type EndpointTable,
  type KnownEndpoint,
  type LimitObservation,
  parseRateLimit,
} from '@primrosestage/steering';
import {AttemptOutcome, type AttemptResult} from './attempt.js';
import type {DirectMetrics} from './direct_metrics.js';
import type {LimitRecord} from './request_log.js';

/** Minimum time between two log lines about invalid limits of endpoints, in milliseconds. */
const INVALID_LOG_INTERVAL_MS = 1_000;
/** Longest invalid value that a log line contains, in characters. */
const MAX_LOGGED_VALUE = 40;

/** Configures the tracking of rate limits. */
export interface LimitTrackerOptions {
  /** Id of this instance. */
  instance: string;
  limits: EndpointLimits;
  timers: TimerService;
  logger: EventLogger;
  metrics: DirectMetrics;
}

/** Reads the rate limits that endpoints state in their responses, and logs their changes. */
export class LimitTracker {
  private invalidLoggedAt = -Infinity;
  private invalidCount = 0;

  constructor(private readonly options: LimitTrackerOptions) {}

  /**
   * Records what a response stated of the endpoint's rate limit. An invalid value changes nothing.
   * @param endpoint - The endpoint.
   * @param result - Result of the attempt that the response ended.
   */
  observeAttempt(
    {entry}: KnownEndpoint,
    {limit, outcome, response, respondedAt}: Partial<AttemptResult>,
  ): void {
    if (respondedAt === undefined) return;
    const perSecond = limit === undefined ? undefined : parseRateLimit(limit);
    if (limit !== undefined && perSecond === undefined) {
      this.reportInvalid(entry.id, limit);
      return;
    }
    const isSuccess =
      outcome === AttemptOutcome.Answered && (response?.status ?? 500) < 500;
    // Refusals and errors may lack the header although the limit still holds.
    if (perSecond === undefined && !isSuccess) return;
    this.record({
      id: entry.id,
      bornAt: entry.bornAt,
      perSecond,
      observedAt: respondedAt,
      from: this.options.instance,
    });
  }

  /**
   * Describes the limit in force of an endpoint for a log line.
   * @param endpoint - The endpoint.
   * @returns The limit, or undefined if there is none.
   */
  describe({entry}: KnownEndpoint): LimitRecord | undefined {
    const {limits, timers} = this.options;
    const limit = limits.get(entry.id, entry.bornAt);
    if (!limit) return undefined;
    const {perSecond, observedAt, from} = limit;
    return {perSecond, ageMs: Math.round(timers.now() - observedAt), from};
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

  private record(observation: LimitObservation): void {
    const {limits, timers, logger, metrics} = this.options;
    const change = limits.observe(observation);
    if (!change) return;
    const {id, perSecond, observedAt, from} = observation;
    if (perSecond === undefined) metrics.endpointLimit.remove({endpoint: id});
    else metrics.endpointLimit.set({endpoint: id}, perSecond);
    logger.info('endpoint limit changed', {
      endpoint: id,
      perSecond: perSecond ?? 'none',
      previousPerSecond: change.previousPerSecond ?? 'none',
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
