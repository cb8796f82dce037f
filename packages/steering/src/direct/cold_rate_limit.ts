/** Window in which requests to a cold endpoint are counted, in milliseconds. */
const WINDOW_MS = 1_000;
/**
 * Margin of the window for differences of travel time: requests sent further apart than the
 * window may arrive within it.
 */
const WINDOW_MARGIN_MS = 150;

/** Describes what a cold endpoint bears, over all instances. */
export interface ColdRateBounds {
  /** Requests in any second that all instances together may send. */
  perSecond: number;
}

/** Describes which part of the bound an instance has. */
export interface ColdRateSharing {
  /** Most instances that may be alive; Infinity where that is not known. */
  instances: number;
  /** Returns the rank of this instance among them for the endpoint, from 0. */
  getRank: () => number;
}

/**
 * Returns how many requests in a second one instance may send to a cold endpoint. Where there
 * are more instances than requests, only those of the lowest ranks may send, and only then is the
 * rank asked for.
 * @param bounds - The bound over all instances.
 * @param sharing - The instance's place among them.
 */
export function getColdLimit(
  bounds: ColdRateBounds,
  sharing: ColdRateSharing,
): number {
  if (!Number.isFinite(sharing.instances)) return 0;
  const total = Math.floor(bounds.perSecond);
  const instances = Math.max(1, sharing.instances);
  const perInstance = Math.floor(total / instances);
  if (perInstance > 0) return perInstance;
  return sharing.getRank() < total ? 1 : 0;
}

/** Counts the requests of one instance to one cold endpoint in a sliding second. */
export class ColdCounter {
  private sentAt: number[] = [];

  /**
   * Says whether one more request stays under a limit, and counts it where it does.
   * @param now - Monotonic time in milliseconds.
   * @param limit - Most requests in the window.
   */
  take(now: number, limit: number): boolean {
    if (!this.hasRoom(now, limit)) return false;
    this.sentAt.push(now);
    return true;
  }

  /**
   * Says whether one more request would stay under a limit.
   * @param now - Monotonic time in milliseconds.
   * @param limit - Most requests in the window.
   */
  hasRoom(now: number, limit: number): boolean {
    const since = now - WINDOW_MS - WINDOW_MARGIN_MS;
    this.sentAt = this.sentAt.filter(at => at > since);
    return this.sentAt.length < limit;
  }
}
