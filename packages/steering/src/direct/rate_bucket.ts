/** Smallest capacity, so that requests that arrive close together do not leave the rate unused. */
const MIN_CAPACITY = 2;
/** Time in which tokens of the full rate fill the bucket, in milliseconds. */
const FILL_MS = 500;

/**
 * Token bucket of a rate limit. It starts empty, so that a bucket that replaces another one on a
 * different instance grants nothing that the other one has granted already.
 */
export class RateBucket {
  private tokens = 0;

  /**
   * Creates an empty bucket.
   * @param refilledAt - Current monotonic time in milliseconds.
   */
  constructor(private refilledAt: number) {}

  /**
   * Takes tokens.
   * @param max - Maximum number of tokens to take.
   * @param now - Monotonic time in milliseconds.
   * @param perSecond - Rate at which tokens are added.
   * @param capacity - Most tokens that the bucket holds.
   * @returns The number of tokens taken.
   */
  take(
    max: number,
    now: number,
    perSecond: number,
    capacity = getDefaultCapacity(perSecond),
  ): number {
    this.refill(now, perSecond, capacity);
    const taken = Math.min(max, Math.floor(this.tokens));
    this.tokens -= taken;
    return taken;
  }

  /**
   * Returns the time until there is a token, in milliseconds; 0 if there is one.
   * @param now - Monotonic time in milliseconds.
   * @param perSecond - Rate at which tokens are added.
   * @param capacity - Most tokens that the bucket holds.
   */
  getWaitMs(
    now: number,
    perSecond: number,
    capacity = getDefaultCapacity(perSecond),
  ): number {
    this.refill(now, perSecond, capacity);
    if (this.tokens >= 1) return 0;
    return ((1 - this.tokens) * 1_000) / perSecond;
  }

  /** Puts back a token that was taken and not used. */
  putBack(): void {
    this.tokens++;
  }

  private refill(now: number, perSecond: number, capacity: number): void {
    const elapsedMs = Math.max(0, now - this.refilledAt);
    const added = (perSecond * elapsedMs) / 1_000;
    this.tokens = Math.min(capacity, this.tokens + added);
    this.refilledAt = now;
  }
}

function getDefaultCapacity(perSecond: number): number {
  return Math.max(MIN_CAPACITY, (perSecond * FILL_MS) / 1_000);
}
