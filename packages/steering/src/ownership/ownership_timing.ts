/** Holds the times that the limits depend on, in milliseconds. */
export interface OwnershipTiming {
  /** Age of the last acknowledgement at which an owner lowers its limit. */
  fenceAfterMs: number;
  /** Silence of an owner after which the next candidate acts. */
  takeoverAfterMs: number;
  /** Age at which a starting instance acts without having heard from every candidate. */
  joinAfterMs: number;
  /** Longest time that a request may run. */
  maxRequestMs: number;
  /** Bound of the lag of the platform's list. */
  listLagMs: number;
}

/** Bounds the lag of the platform's list, as the platform states it. */
export const LIST_LAG_MS = 10_000;

/** Covers the difference of two monotonic clocks over `joinAfterMs`. */
export const CLOCK_MARGIN_MS = 100;
