/** Weight of a new measurement in a moving average. */
const SMOOTHING = 0.2;
/** Age at which a load report of an endpoint has lost half its weight, in milliseconds. */
const REPORT_HALF_LIFE_MS = 500;
/** First pause after an endpoint could not be reached, in milliseconds. */
const INITIAL_BACKOFF_MS = 300;
/** Longest pause after repeated failures, in milliseconds. */
const MAX_BACKOFF_MS = 3_000;
/** Times the usual time without any answer after which an endpoint counts as silent. */
const UNRESPONSIVE_FACTOR = 4;
/** Least silence that counts, in milliseconds. */
const MIN_UNRESPONSIVE_MS = 400;
/** Consecutive failures on open connections after which an endpoint is paused. */
const BACKOFF_THRESHOLD = 3;

/** Holds the load that an endpoint reported with an answer. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
}

/** Tracks what one instance knows of the load and health of one endpoint. */
export class EndpointLoad {
  /** Monotonic time of the last answer. */
  answeredAt = -Infinity;
  private openRequests = 0;
  /** Time of the oldest request since the endpoint last answered one. */
  private unansweredSince = Infinity;
  private otherInstancesLoad = 0;
  private reportedAt = -Infinity;
  private serviceMs = 0;
  private failureRatio = 0;
  private consecutiveFailures = 0;
  private backoffMs = 0;
  private backoffUntil = -Infinity;
  private isTrialRequired = false;

  /** Requests of this instance that the endpoint has not answered. */
  get inFlight(): number {
    return this.openRequests;
  }

  /**
   * Counts a request that is sent.
   * @param now - Monotonic time in milliseconds.
   */
  begin(now: number): void {
    this.openRequests++;
    if (this.unansweredSince === Infinity) this.unansweredSince = now;
  }

  /** Counts a request that has ended in any way. */
  end(): void {
    this.openRequests = Math.max(0, this.openRequests - 1);
    if (this.openRequests === 0) this.unansweredSince = Infinity;
  }

  /** Moving average of the time that a request runs, in milliseconds; 0 where unknown. */
  get averageServiceMs(): number {
    return this.serviceMs;
  }

  /** Moving average of the part of requests that fail. */
  get averageFailureRatio(): number {
    return this.failureRatio;
  }

  /**
   * Estimates the requests that run or wait at the endpoint.
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
   * Takes over a load report.
   * @param report - The report; it includes the requests of this instance.
   * @param now - Monotonic time in milliseconds.
   */
  observeReport(report: LoadReport, now: number): void {
    const total = report.running + report.waiting;
    this.otherInstancesLoad = Math.max(0, total - this.inFlight);
    this.reportedAt = now;
  }

  /**
   * Takes over an answer.
   * @param elapsedMs - Time at the endpoint without travel and queueing, in milliseconds.
   * @param now - Monotonic time in milliseconds.
   */
  observeAnswer(elapsedMs: number, now: number): void {
    this.serviceMs =
      this.serviceMs === 0
        ? elapsedMs
        : this.serviceMs + SMOOTHING * (elapsedMs - this.serviceMs);
    this.observeReachable(now);
    this.failureRatio *= 1 - SMOOTHING;
  }

  /**
   * Takes over a refusal or a failed answer; the endpoint itself lives.
   * @param now - Monotonic time in milliseconds.
   */
  observeRefusal(now: number): void {
    this.observeReachable(now);
    this.failureRatio += SMOOTHING * (1 - this.failureRatio);
  }

  /**
   * Takes over a failure on a connection.
   * @param isUnreachable - Whether no connection could be opened.
   * @param now - Monotonic time in milliseconds.
   */
  observeFailure(isUnreachable: boolean, now: number): void {
    this.failureRatio += SMOOTHING * (1 - this.failureRatio);
    this.consecutiveFailures++;
    this.isTrialRequired = false;
    if (!isUnreachable && this.consecutiveFailures < BACKOFF_THRESHOLD) return;
    this.backoffMs = Math.min(
      MAX_BACKOFF_MS,
      Math.max(INITIAL_BACKOFF_MS, this.backoffMs * 2),
    );
    this.backoffUntil = now + this.backoffMs;
    this.isTrialRequired = true;
  }

  /**
   * Says whether a request may be sent; after a pause only one at a time may, until one is
   * answered.
   * @param now - Monotonic time in milliseconds.
   */
  isUsable(now: number): boolean {
    if (now < this.backoffUntil || this.isUnresponsive(now)) return false;
    return !this.isTrialRequired || this.inFlight === 0;
  }

  /** Several requests are open and none has been answered for far longer than usual. */
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
   * Takes over that the endpoint answered, without a measure of its speed.
   * @param now - Monotonic time in milliseconds.
   */
  observeReachable(now: number): void {
    this.answeredAt = now;
    this.unansweredSince = this.openRequests > 0 ? now : Infinity;
    this.consecutiveFailures = 0;
    this.backoffMs = 0;
    this.backoffUntil = -Infinity;
    this.isTrialRequired = false;
  }
}
