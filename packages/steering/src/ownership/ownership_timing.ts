/** Timing parameters of endpoint ownership, in milliseconds. */
export interface OwnershipTiming {
  /** Age of the next candidate's last acknowledgement at which an owner lowers its limit. */
  fenceAfterMs: number;
  /** Time without a message from the owner after which the next candidate takes over. */
  takeoverAfterMs: number;
  /** Age at which a starting instance becomes active without acknowledgements of all peers. */
  joinAfterMs: number;
  /** Maximum duration of a request. */
  maxRequestMs: number;
  /** Maximum lag of the platform's instance list. */
  listLagMs: number;
}

/** Maximum lag of the instance list that the platform specifies, in milliseconds. */
export const LIST_LAG_MS = 10_000;

/** Allowance for the drift between two monotonic clocks over `joinAfterMs`, in milliseconds. */
export const CLOCK_MARGIN_MS = 100;
