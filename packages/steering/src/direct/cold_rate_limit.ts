/** Window of the rate limit of a cold endpoint, in milliseconds. */
const WINDOW_MS = 1_000;
/**
 * Margin for varying network latency: requests that are sent further apart than the window may
 * arrive within it.
 */
const WINDOW_MARGIN_MS = 150;

/** Rate limit of a cold endpoint over all instances. */
export interface ColdRateBounds {
  /** Maximum number of requests in any second, summed over all instances. */
  perSecond: number;
}

/** Describes how the instances share a rate limit. */
export interface ColdRateSharing {
  /** Upper bound of the number of live instances; Infinity if it is not known. */
  instances: number;
  /** Returns the zero-based rank of this instance for the endpoint. */
  getRank: () => number;
}

/**
 * Returns how many requests per second one instance may send to a cold endpoint. If there are
 * more instances than permitted requests, only the instances with the lowest ranks may send one
 * each; the rank is evaluated in this case only.
 * @param bounds - Rate limit over all instances.
 * @param sharing - Number of instances, and the rank of this one.
 */
export function getColdRateLimit(
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

/** Limits the requests of one instance to one cold endpoint by a sliding window. */
export class ColdRateLimiter {
  private sentAt: number[] = [];

  /**
   * Counts a request if the limit permits it.
   * @param now - Monotonic time in milliseconds.
   * @param limit - Maximum number of requests in the window.
   * @returns Whether the request is permitted.
   */
  tryAcquire(now: number, limit: number): boolean {
    if (!this.canAcquire(now, limit)) return false;
    this.sentAt.push(now);
    return true;
  }

  /**
   * Returns whether the limit permits another request, without counting one.
   * @param now - Monotonic time in milliseconds.
   * @param limit - Maximum number of requests in the window.
   */
  canAcquire(now: number, limit: number): boolean {
    const since = now - WINDOW_MS - WINDOW_MARGIN_MS;
    this.sentAt = this.sentAt.filter(at => at > since);
    return this.sentAt.length < limit;
  }
}
