/**
 * Time after which all instances that can be reached have heard of a started one, and after which
 * no window of a rate limit holds requests that they sent before they had, in milliseconds.
 */
export const PROPAGATION_MS = 2_500;

/**
 * Decides from when a started instance may use its share of limits that are divided among all
 * instances. It must know the others, and they must count it: otherwise the shares of all add up to
 * more than the limit.
 */
export class MembershipDiscovery {
  private timeoutAt = -Infinity;
  /** Time at which the discovery ends unless another instance joins; Infinity before any reply. */
  private completeAt = -Infinity;
  private lastJoinAt = -Infinity;

  /**
   * Starts the discovery of other instances.
   * @param timeoutAt - Monotonic time in milliseconds at which the discovery ends in any case.
   */
  start(timeoutAt: number): void {
    this.timeoutAt = timeoutAt;
    this.completeAt = Infinity;
  }

  /** Ends the discovery. */
  end(): void {
    this.timeoutAt = -Infinity;
    this.completeAt = -Infinity;
  }

  /**
   * Records that another instance has sent the members it knows. One that has counted this instance
   * for long shows that all do. One that has just started itself may know as little as this one.
   * @param countedMs - Time for which the other instance has counted this one, in milliseconds.
   * @param now - Monotonic time in milliseconds.
   */
  recordReply(countedMs: number, now: number): void {
    if (countedMs >= PROPAGATION_MS) this.end();
    else if (this.completeAt === Infinity) {
      const heardAt = Math.max(now - countedMs, this.lastJoinAt);
      this.completeAt = heardAt + PROPAGATION_MS;
    }
  }

  /**
   * Records that an unknown instance has been heard of, behind which others may follow.
   * @param now - Monotonic time in milliseconds.
   */
  recordJoin(now: number): void {
    this.lastJoinAt = now;
    const isPending = this.completeAt < Infinity && now < this.completeAt;
    if (isPending) this.completeAt = now + PROPAGATION_MS;
  }

  /**
   * Returns whether the discovery has ended.
   * @param now - Monotonic time in milliseconds.
   */
  isComplete(now: number): boolean {
    return now >= Math.min(this.timeoutAt, this.completeAt);
  }
}
