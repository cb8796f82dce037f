import {SlidingCounter} from './sliding_counter.js';

/**
 * Fraction of the limit that is used. The remainder covers requests that are counted in one window
 * and retried in the next, and instances that are not yet known to the others.
 */
const SAFETY_FRACTION = 0.8;

/** Limits of the retries of one service over all instances. */
export interface RetryBounds {
  /** Retries per request. */
  ratio: number;
  /** Retries per window that all instances together may send beyond the ratio. */
  slack: number;
  windowMs: number;
}

/**
 * Retry budget of one service at one instance. The ratio applies to the instance's own requests
 * and the slack is divided by the number of instances, so that the budgets of all instances stay
 * within the limit without coordination.
 */
export class SharedRetryBudget {
  private readonly requests: SlidingCounter;
  private readonly retries: SlidingCounter;

  /**
   * Creates the budget of one service.
   * @param bounds - Limits over all instances.
   */
  constructor(private readonly bounds: RetryBounds) {
    this.requests = new SlidingCounter(bounds.windowMs);
    this.retries = new SlidingCounter(bounds.windowMs);
  }

  /**
   * Counts a request for the service.
   * @param now - Monotonic time in milliseconds.
   */
  countRequest(now: number): void {
    this.requests.add(now);
  }

  /**
   * Counts a retry if the budget permits it.
   * @param now - Monotonic time in milliseconds.
   * @param instances - Upper bound of the number of live instances; Infinity if it is not known.
   * @returns Whether the retry may be sent.
   */
  tryAcquire(now: number, instances: number): boolean {
    const {ratio, slack} = this.bounds;
    const allowed =
      SAFETY_FRACTION *
      (ratio * this.requests.get(now) + slack / Math.max(1, instances));
    if (this.retries.get(now) + 1 > allowed) return false;
    this.retries.add(now);
    return true;
  }
}
