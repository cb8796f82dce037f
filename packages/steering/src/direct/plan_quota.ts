/** Fraction of the margin that may be saved up in a bucket while an account is idle. */
const SAVED_FRACTION = 0.4;
/**
 * Fraction of the margin that the bucket and the credit held by instances may reach together.
 * With 0.4 an account without a burst can't use its rate from a distant instance: at a round trip
 * of 120 ms and a request each 100 ms, up to 0.32 s of the rate are on the way or not yet reported,
 * and 0.4 of the margin are 0.2 s. The rest of the margin is for credit of former coordinators and
 * for varying latency between the admission of a request and its arrival.
 */
const LENT_FRACTION = 0.7;

/** Rate limit of an account over all instances. */
export interface QuotaLimit {
  ratePerSecond: number;
  /** Requests beyond the rate that may arrive at once. */
  burst: number;
}

/** Tolerance within which quotas are kept. */
export interface QuotaTolerance {
  /** Length of the sliding window in which requests are counted, in milliseconds. */
  windowMs: number;
  /** Fraction by which the requests in a window may exceed the quota. */
  overshoot: number;
  /** Requests in a window beyond that. */
  slack: number;
}

/** Amounts of credit that keep an account within its quota, in requests. */
export interface QuotaPlan extends QuotaLimit {
  /** Most credit that the coordinator's bucket holds. */
  capacity: number;
  /** Most credit that the bucket and the holders have together. */
  lendLimit: number;
  /** Most credit that the fixed shares of all instances hold together. */
  shareCapacity: number;
}

/**
 * Returns the highest number of requests that the tolerance allows in a window.
 * @param limit - Rate and burst of the account.
 * @param tolerance - The window and its tolerance.
 */
export function getQuotaBound(
  limit: QuotaLimit,
  tolerance: QuotaTolerance,
): number {
  const quota = getWindowRate(limit, tolerance) + limit.burst;
  return quota * (1 + tolerance.overshoot) + tolerance.slack;
}

/**
 * Plans how much unused credit of an account there may be. The requests in a window are at most
 * the unused credit at its start and the rate in it, so that the unused credit must stay below the
 * margin between the bound and the rate, also while some credit has no known holder. A margin
 * below one request still gives a bucket of one, since nothing would run otherwise.
 * @param limit - Rate and burst of the account.
 * @param tolerance - The window and its tolerance.
 */
export function planQuota(
  limit: QuotaLimit,
  tolerance: QuotaTolerance,
): QuotaPlan {
  const {ratePerSecond, burst} = limit;
  const margin =
    getQuotaBound(limit, tolerance) - getWindowRate(limit, tolerance);
  const lendLimit = Math.max(1, margin * LENT_FRACTION);
  const saved = Math.max(1, margin * SAVED_FRACTION);
  return {
    ratePerSecond,
    burst,
    // A caller may use its whole burst after a pause, if that leaves enough of the margin.
    capacity: Math.min(lendLimit, Math.max(saved, burst)),
    lendLimit,
    shareCapacity: saved,
  };
}

function getWindowRate(
  {ratePerSecond}: QuotaLimit,
  {windowMs}: QuotaTolerance,
): number {
  return (ratePerSecond * windowMs) / 1_000;
}
