/** Time constant of the average, in milliseconds. */
const AVERAGE_MS = 1_000;

/** Exponentially weighted average of an account's requests at one instance. */
export class AccountDemand {
  private average = 0;

  /**
   * Creates an average of 0.
   * @param updatedAt - Current monotonic time in milliseconds.
   */
  constructor(private updatedAt: number) {}

  /**
   * Counts a request.
   * @param now - Monotonic time in milliseconds.
   */
  count(now: number): void {
    this.average = this.getPerMs(now) + 1 / AVERAGE_MS;
    this.updatedAt = now;
  }

  /**
   * Returns the requests per millisecond.
   * @param now - Monotonic time in milliseconds.
   */
  getPerMs(now: number): number {
    return this.average * Math.exp((this.updatedAt - now) / AVERAGE_MS);
  }
}
