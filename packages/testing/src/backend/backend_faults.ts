/** Holds the faults of a backend server, which can change at run time. */
export interface BackendFaults {
  /** Multiplies service times. */
  slowness: number;
  /** Fraction of requests refused with `not-run`. */
  shed: number;
  /** Fraction of requests whose connection closes before they run. */
  crashBefore: number;
  /** Fraction of requests whose connection closes after they ran. */
  crashAfter: number;
  /** Fraction of answers that end in the middle of the body. */
  truncate: number;
  /** Replaces the reported health. */
  claimHealthy?: boolean;
  /** Replaces the reported requests in flight. */
  claimInFlight?: number;
  /** Age of the load and health that are reported, in milliseconds. */
  lagMs: number;
}

/** Describes a backend server without faults. */
export const NO_BACKEND_FAULTS: Readonly<BackendFaults> = {
  slowness: 1,
  shed: 0,
  crashBefore: 0,
  crashAfter: 0,
  truncate: 0,
  lagMs: 0,
};
