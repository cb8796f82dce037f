/** Maximum retry delay, as a fraction of the caller's remaining time. */
const MAX_REMAINING_FRACTION = 1 / 3;
/** Maximum jitter, as a fraction of the delay, so that refused callers do not retry together. */
const JITTER = 0.5;

/** Input for the retry delay of a refused caller. */
export interface RetryAfterOptions {
  /** Time until capacity is expected, in milliseconds. */
  capacityInMs: number;
  /** Time until the caller's deadline, in milliseconds. */
  remainingMs: number;
  /** A random number in [0, 1). */
  random: number;
}

/**
 * Returns the delay after which a refused caller should retry: the time until capacity is
 * expected, with jitter, limited to leave time for another attempt before the caller's deadline.
 * @param options - Remaining time of the caller and time until capacity is expected.
 * @returns The delay in whole milliseconds.
 */
export function getRetryAfterMs(options: RetryAfterOptions): number {
  const {capacityInMs, remainingMs, random} = options;
  const jitteredMs = capacityInMs * (1 + JITTER * random);
  return Math.round(Math.min(remainingMs * MAX_REMAINING_FRACTION, jitteredMs));
}
