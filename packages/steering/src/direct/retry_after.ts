/** Longest part of a caller's remaining time after which it is asked to return. */
const MAX_REMAINING_FRACTION = 1 / 3;
/** Spread of the times to return, so that refused callers do not come back together. */
const JITTER = 0.5;

/** Describes a refused caller. */
export interface RetryAfterOptions {
  /** Time after which room is expected, in milliseconds. */
  roomInMs: number;
  /** Time until the caller's deadline, in milliseconds. */
  remainingMs: number;
  /** A random number in [0, 1). */
  random: number;
}

/**
 * Returns the time after which a refused caller should come back: when room is expected, spread
 * over the callers, and early enough for another try within the caller's deadline.
 * @param options - The caller and the expected room.
 * @returns Whole milliseconds.
 */
export function getReturnMs(options: RetryAfterOptions): number {
  const {roomInMs, remainingMs, random} = options;
  const jitteredMs = roomInMs * (1 + JITTER * random);
  return Math.round(Math.min(remainingMs * MAX_REMAINING_FRACTION, jitteredMs));
}
