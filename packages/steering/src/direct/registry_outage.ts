/**
 * Time within which a live endpoint whose registration lapsed registers again, in milliseconds:
 * about two seconds after the registry is back.
 */
const REREGISTRATION_MS = 2_300;
/** Maximum grace period of a lapsed entry, as a fraction of the drain time. */
const LAPSE_GRACE_FRACTION = 0.85;
/**
 * Part of the drain time that is left to the ways of a removal and of a request, in milliseconds:
 * the delay between two watches, the response of the registry, a busy event loop, and the way to
 * the endpoint.
 */
const PROPAGATION_MARGIN_MS = 600;

/**
 * Returns the longest time for which an entry that lapsed stays in force, in milliseconds.
 * @param drainMs - Time after which a leaving endpoint must get no requests, in milliseconds.
 */
export function getLapseGraceMs(drainMs: number): number {
  return Math.min(REREGISTRATION_MS, drainMs * LAPSE_GRACE_FRACTION);
}

/**
 * Decides whether a removal that this instance reads may only be a lapse: a live endpoint cannot
 * renew its registration while the registry is unavailable, and is back soon after.
 */
export class RegistryOutage {
  private readonly graceMs: number;
  private endedAt = -Infinity;
  private isOngoing = false;

  /**
   * Creates the state of an available registry.
   * @param drainMs - Time after which a leaving endpoint must get no requests, in milliseconds. It
   *     runs from the removal, which may be an endpoint's departure all the same.
   */
  constructor(drainMs: number) {
    const readableMs = Math.max(0, drainMs - PROPAGATION_MARGIN_MS);
    this.graceMs = Math.min(getLapseGraceMs(drainMs), readableMs);
  }

  /** Records that the registry is unavailable. */
  begin(): void {
    this.isOngoing = true;
  }

  /**
   * Records that the registry is available.
   * @param now - Monotonic time in milliseconds.
   */
  end(now: number): void {
    if (!this.isOngoing) return;
    this.isOngoing = false;
    this.endedAt = now;
  }

  /**
   * Returns until when the entry of an endpoint is kept whose removal is read now.
   * @param now - Monotonic time in milliseconds.
   * @returns Monotonic time in milliseconds; undefined if the endpoint has left.
   */
  getLapseEnd(now: number): number | undefined {
    const latest = now + this.graceMs;
    if (this.isOngoing) return latest;
    const registersUntil = this.endedAt + REREGISTRATION_MS;
    return now < registersUntil ? Math.min(registersUntil, latest) : undefined;
  }
}
