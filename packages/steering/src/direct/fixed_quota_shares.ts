import {getColdRateLimit} from './cold_rate_limit.js';
import type {QuotaPlan} from './plan_quota.js';
import {UNDECIDED_RETRY_MS} from './quota_timing.js';
import {RateBucket} from './rate_bucket.js';

/** How the instances share the rate of an account. */
export interface QuotaSharing {
  /** Number of instances that may be alive; Infinity if it is unknown. */
  instances: number;
  /** Returns the zero-based rank of this instance for the account. */
  getRank: () => number;
}

/** Result of asking for credit of a fixed share. */
export interface ShareResult {
  isGranted: boolean;
  /** Time until there is credit, in milliseconds. */
  retryAfterMs: number;
  /** Returns credit that was granted and not used. */
  putBack: () => void;
}

/**
 * Local buckets of an instance that gets no replies of the coordinator, as while that is dead or cut
 * off. Each is filled at the rate divided by all instances that may be alive, so that the buckets
 * of all instances and the credit that a coordinator lends stay within the rate together.
 */
export class FixedQuotaShares {
  private readonly buckets = new Map<string, RateBucket>();

  /**
   * Creates empty buckets.
   * @param startedAt - Monotonic time from which they are filled, in milliseconds.
   */
  constructor(private readonly startedAt: number) {}

  /**
   * Takes credit for one request.
   * @param account - Name of the account.
   * @param plan - Amounts of credit.
   * @param sharing - How the instances share the rate.
   * @param now - Monotonic time in milliseconds.
   */
  take(
    account: string,
    plan: QuotaPlan,
    sharing: QuotaSharing,
    now: number,
  ): ShareResult {
    const capacity = getShareCapacity(plan, sharing);
    if (capacity < 1) return DENIED;
    const perSecond = plan.ratePerSecond / sharing.instances;
    let bucket = this.buckets.get(account);
    if (!bucket) {
      bucket = new RateBucket(this.startedAt);
      this.buckets.set(account, bucket);
    }
    const isGranted = bucket.take(1, now, perSecond, capacity) === 1;
    const retryAfterMs = Math.ceil(bucket.getWaitMs(now, perSecond, capacity));
    return {isGranted, retryAfterMs, putBack: () => bucket.putBack()};
  }
}

const DENIED: ShareResult = {
  isGranted: false,
  retryAfterMs: UNDECIDED_RETRY_MS,
  putBack: () => {},
};

/**
 * Divides the capacity of the shares. If there is less than one request for each instance, the
 * instances with the lowest ranks may save up one each.
 */
function getShareCapacity(
  {shareCapacity}: QuotaPlan,
  sharing: QuotaSharing,
): number {
  return getColdRateLimit({perSecond: shareCapacity}, sharing);
}
