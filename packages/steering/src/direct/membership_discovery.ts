/**
 * Time after which all instances that can be reached have heard of a started one, and after which
 * no window of a rate limit holds requests that they sent before they had, in milliseconds.
 */
export const PROPAGATION_MS = 2_500;
/**
 * Time for which an instance that finds itself registered waits for those that have been running
 * meanwhile and may have forgotten it, in milliseconds.
 */
const REGISTERED_WAIT_MS = 1_000;

/** What another instance says of the membership together with the members it knows. */
export interface MembershipReply {
  /** Time for which it has counted the asking instance, in milliseconds. */
  countedMs: number;
  /** Whether it uses its own share, so that it has not just started. */
  isComplete: boolean;
}

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
   * for long shows that all do. One that uses its share and has not shows that some do not yet. One
   * that has just started itself may know as little as this one.
   * @param reply - What the other instance says.
   * @param now - Monotonic time in milliseconds.
   */
  recordReply({countedMs, isComplete}: MembershipReply, now: number): void {
    if (this.isComplete(now)) return;
    if (countedMs >= PROPAGATION_MS) {
      this.end();
      return;
    }
    const heardAt = Math.max(now - countedMs, this.lastJoinAt);
    const countedByAllAt = heardAt + PROPAGATION_MS;
    if (this.completeAt === Infinity) this.completeAt = countedByAllAt;
    else if (isComplete) {
      this.completeAt = Math.max(this.completeAt, countedByAllAt);
    }
  }

  /**
   * Records that the registry lists an earlier process of this instance together with the others.
   * All that have started since then have read the same list.
   * @param ageMs - Time since the start of that process, in milliseconds.
   * @param now - Monotonic time in milliseconds.
   */
  recordRegistration(ageMs: number, now: number): void {
    if (ageMs < PROPAGATION_MS) return;
    this.completeAt = Math.min(this.completeAt, now + REGISTERED_WAIT_MS);
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
