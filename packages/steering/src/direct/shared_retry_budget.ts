import {SlidingCounter} from './sliding_counter.js';

/**
 * Part of the bound that is used. The rest covers requests that are counted in one window and
 * repeated in the next, and instances that are not yet known to the others.
 */
const SAFETY_FRACTION = 0.8;

/** Bounds the repeats of one service over all instances. */
export interface RetryBounds {
  /** Repeats per request. */
  ratio: number;
  /** Repeats of all instances in a window beyond the ratio. */
  slack: number;
  windowMs: number;
}

/**
 * Grants repeats of one service at one instance. The ratio applies to the instance's own
 * requests and the slack is divided by the number of instances, so that the parts of all
 * instances add up to the bound without any exchange between them.
 */
export class RepeatAllowance {
  private readonly requests: SlidingCounter;
  private readonly retries: SlidingCounter;

  /**
   * Creates the allowance of one service.
   * @param bounds - The bounds over all instances.
   */
  constructor(private readonly bounds: RetryBounds) {
    this.requests = new SlidingCounter(bounds.windowMs);
    this.retries = new SlidingCounter(bounds.windowMs);
  }

  /**
   * Counts a request for the service.
   * @param now - Monotonic time in milliseconds.
   */
  addRequest(now: number): void {
    this.requests.add(now);
  }

  /**
   * Grants one repeat where the bound allows it.
   * @param now - Monotonic time in milliseconds.
   * @param instances - Most instances that may be alive.
   * @returns Whether the repeat may be sent.
   */
  take(now: number, instances: number): boolean {
    const {ratio, slack} = this.bounds;
    const allowed =
      SAFETY_FRACTION *
      (ratio * this.requests.get(now) + slack / Math.max(1, instances));
    if (this.retries.get(now) + 1 > allowed) return false;
    this.retries.add(now);
    return true;
  }
}
