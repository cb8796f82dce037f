import {AverageLoad} from './average_load.js';
import {updateRobustAverage} from './robust_average.js';
import {WorkFactor} from './work_factor.js';

/** Weight of a new sample in an exponential moving average. */
const SMOOTHING = 0.2;
/**
 * Half-life of a measured service time, in milliseconds. Without it, one slow response of an
 * endpoint could exclude it from requests with short deadlines forever, since an endpoint without
 * requests is not measured again.
 */
const SERVICE_TIME_HALF_LIFE_MS = 10_000;
/** Half-life of an endpoint's load report, in milliseconds. */
const REPORT_HALF_LIFE_MS = 500;
/** Initial backoff of an unreachable endpoint, in milliseconds. */
const INITIAL_BACKOFF_MS = 300;
/** Maximum backoff after repeated failures, in milliseconds. */
const MAX_BACKOFF_MS = 3_000;
/** Multiple of the average service time without an answer that makes an endpoint unresponsive. */
const UNRESPONSIVE_FACTOR = 4;
/** Minimum time without an answer that makes an endpoint unresponsive, in milliseconds. */
const MIN_UNRESPONSIVE_MS = 400;
/** Consecutive failures on open connections that start a backoff. */
const BACKOFF_THRESHOLD = 3;

/** Load that an endpoint reported with an answer. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
  /** Duration of work as a multiple of the usual one; undefined if it is not stated. */
  workFactor?: number;
}

/** Tracks the load and health of one endpoint as one instance observes them. */
export class EndpointLoad {
  /** Monotonic time of the last answer. */
  answeredAt = -Infinity;
  private openRequests = 0;
  /** Start of the current period without an answer to open requests; Infinity if none is open. */
  private unansweredSince = Infinity;
  private otherInstancesLoad = 0;
  private reportedAt = -Infinity;
  private readonly averageLoad = new AverageLoad();
  private readonly workFactor = new WorkFactor();
  private serviceMs = 0;
  private serviceMeasuredAt = -Infinity;
  private failureRatio = 0;
  private consecutiveFailures = 0;
  private backoffMs = 0;
  private backoffUntil = -Infinity;
  private isTrialRequired = false;
  private isUnreachable = false;

  /** Number of this instance's open requests at the endpoint. */
  get inFlight(): number {
    return this.openRequests;
  }

  /**
   * Counts a request that is being sent.
   * @param now - Monotonic time in milliseconds.
   */
  begin(now: number): void {
    this.openRequests++;
    if (this.unansweredSince === Infinity) this.unansweredSince = now;
  }

  /** Counts the end of a request, whatever its outcome. */
  end(): void {
    this.openRequests = Math.max(0, this.openRequests - 1);
    if (this.openRequests === 0) this.unansweredSince = Infinity;
  }

  /**
   * Returns the expected duration of work as a multiple of the usual one.
   * @param now - Monotonic time in milliseconds.
   */
  getWorkFactor(now: number): number {
    return this.workFactor.get(now);
  }

  /**
   * Estimates the usual service time. A measurement that gets old gives way to the service's time.
   * @param typicalMs - Service time over all endpoints of the service, in milliseconds.
   * @param now - Monotonic time in milliseconds.
   */
  getServiceMs(typicalMs: number, now: number): number {
    if (this.serviceMs === 0) return typicalMs;
    const age = Math.max(0, now - this.serviceMeasuredAt);
    const weight = 0.5 ** (age / SERVICE_TIME_HALF_LIFE_MS);
    return typicalMs + (this.serviceMs - typicalMs) * weight;
  }

  /** Moving average of the fraction of requests that fail. */
  get averageFailureRatio(): number {
    return this.failureRatio;
  }

  /**
   * Estimates the number of requests that run or are queued at the endpoint.
   * @param now - Monotonic time in milliseconds.
   */
  getDepth(now: number): number {
    const age = Math.max(0, now - this.reportedAt);
    return (
      this.inFlight +
      this.otherInstancesLoad * 0.5 ** (age / REPORT_HALF_LIFE_MS)
    );
  }

  /**
   * Returns the average number of requests at the endpoint in the last seconds.
   * @param now - Monotonic time in milliseconds.
   */
  getAverageDepth(now: number): number {
    return this.averageLoad.get(now);
  }

  /**
   * Records a load report.
   * @param report - Load of the endpoint, including the requests of this instance.
   * @param now - Monotonic time in milliseconds.
   */
  observeReport(report: LoadReport, now: number): void {
    const total = report.running + report.waiting;
    this.otherInstancesLoad = Math.max(0, total - this.inFlight);
    this.reportedAt = now;
    this.averageLoad.observe(total, now);
    if (report.workFactor !== undefined) {
      this.workFactor.observe(report.workFactor, now);
    }
  }

  /**
   * Records an answer.
   * @param elapsedMs - Service time without network latency and queueing, in milliseconds, divided
   *     by the work factor.
   * @param now - Monotonic time in milliseconds.
   * @param typicalMs - Service time over all endpoints of the service, in milliseconds.
   */
  observeAnswer(elapsedMs: number, now: number, typicalMs = elapsedMs): void {
    const previousMs = this.getServiceMs(typicalMs, now);
    this.serviceMs = updateRobustAverage(previousMs, elapsedMs, SMOOTHING);
    this.serviceMeasuredAt = now;
    this.observeReachable(now);
    this.failureRatio *= 1 - SMOOTHING;
  }

  /**
   * Records a refusal or an error answer. Both show that the endpoint is reachable.
   * @param now - Monotonic time in milliseconds.
   */
  observeRefusal(now: number): void {
    this.observeReachable(now);
    this.failureRatio += SMOOTHING * (1 - this.failureRatio);
  }

  /**
   * Records a connection failure.
   * @param isUnreachable - Whether no connection could be opened.
   * @param now - Monotonic time in milliseconds.
   */
  observeFailure(isUnreachable: boolean, now: number): void {
    this.failureRatio += SMOOTHING * (1 - this.failureRatio);
    this.consecutiveFailures++;
    this.isTrialRequired = false;
    this.isUnreachable = isUnreachable;
    if (!isUnreachable && this.consecutiveFailures < BACKOFF_THRESHOLD) return;
    this.backoffMs = Math.min(
      MAX_BACKOFF_MS,
      Math.max(INITIAL_BACKOFF_MS, this.backoffMs * 2),
    );
    this.backoffUntil = now + this.backoffMs;
    this.isTrialRequired = true;
  }

  /**
   * Returns whether a request may be sent. After a backoff, requests are sent one at a time until
   * one of them is answered.
   * @param now - Monotonic time in milliseconds.
   */
  isUsable(now: number): boolean {
    if (now < this.backoffUntil || this.isUnresponsive(now)) return false;
    return !this.isTrialRequired || this.inFlight === 0;
  }

  /**
   * Rates an endpoint that is not usable, for the case that no other endpoint is left. One that has
   * failed on open connections is reachable and may answer the next request. One that could not be
   * connected or is silent has not shown that it may, and a request that waits for it cannot be
   * sent elsewhere.
   * @param now - Monotonic time in milliseconds.
   * @returns The number of consecutive failures; Infinity if the endpoint must not be used.
   */
  getSuspicion(now: number): number {
    return this.isUnreachable || this.isUnresponsive(now)
      ? Infinity
      : this.consecutiveFailures;
  }

  /** Returns whether several open requests have had no answer for far longer than usual. */
  private isUnresponsive(now: number): boolean {
    if (this.openRequests < 2) return false;
    const queued = Math.max(1, this.openRequests / 4);
    const limitMs = Math.max(
      MIN_UNRESPONSIVE_MS,
      UNRESPONSIVE_FACTOR * this.serviceMs * queued,
    );
    return now - this.unansweredSince > limitMs;
  }

  /**
   * Records that the endpoint answered, without a measurement of its service time.
   * @param now - Monotonic time in milliseconds.
   */
  observeReachable(now: number): void {
    this.answeredAt = now;
    this.unansweredSince = this.openRequests > 0 ? now : Infinity;
    this.consecutiveFailures = 0;
    this.backoffMs = 0;
    this.backoffUntil = -Infinity;
    this.isTrialRequired = false;
    this.isUnreachable = false;
  }
}
