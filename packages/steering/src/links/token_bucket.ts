/** Configures a token bucket. */
export interface TokenBucketOptions {
  /** Tokens added per second. */
  ratePerSecond: number;
  /** Maximum number of tokens that it holds. */
  size: number;
}

/** Grants tokens at a bounded rate; the count never goes below 0. */
export class TokenBucket {
  private tokens: number;

  /**
   * Creates a full bucket.
   * @param options - Rate and size.
   * @param refilledAtMs - Present time in milliseconds.
   */
  constructor(
    private options: TokenBucketOptions,
    private refilledAtMs: number,
  ) {
    this.tokens = options.size;
  }

  /** The maximum number of tokens that it holds. */
  get size(): number {
    return this.options.size;
  }

  /**
   * Changes rate and size; it never adds tokens.
   * @param options - The new rate and size.
   * @param nowMs - Present time in milliseconds.
   */
  configure(options: TokenBucketOptions, nowMs: number): void {
    this.refill(nowMs);
    this.options = options;
    this.tokens = Math.min(this.tokens, options.size);
  }

  /**
   * Gets the number of tokens that it holds.
   * @param nowMs - Present time in milliseconds.
   */
  getTokens(nowMs: number): number {
    this.refill(nowMs);
    return this.tokens;
  }

  /**
   * Takes up to a number of tokens.
   * @param wanted - Tokens wanted.
   * @param reserve - Tokens that must remain.
   * @param nowMs - Present time in milliseconds.
   * @returns The tokens granted.
   */
  takeUpTo(wanted: number, reserve: number, nowMs: number): number {
    this.refill(nowMs);
    const granted = Math.max(0, Math.min(wanted, this.tokens - reserve));
    this.tokens -= granted;
    return granted;
  }

  /**
   * Gets the time until it holds a number of tokens.
   * @param wanted - Tokens wanted; more than the size counts as the size.
   * @param nowMs - Present time in milliseconds.
   * @returns The time in milliseconds.
   */
  getWaitMs(wanted: number, nowMs: number): number {
    this.refill(nowMs);
    const {ratePerSecond, size} = this.options;
    const shortfall = Math.min(wanted, size) - this.tokens;
    return shortfall <= 0 ? 0 : (shortfall / ratePerSecond) * 1000;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    const {ratePerSecond, size} = this.options;
    this.tokens = Math.min(
      size,
      this.tokens + (ratePerSecond * elapsedMs) / 1000,
    );
    this.refilledAtMs = Math.max(this.refilledAtMs, nowMs);
  }
}
