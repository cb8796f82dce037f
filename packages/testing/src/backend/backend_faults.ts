/** Holds the faults of a backend server, which can change at run time. */
export interface BackendFaults {
  /** Multiplies service times. */
  serviceTimeFactor: number;
  /** Fraction of requests refused with `not-run`. */
  shedFraction: number;
  /** Fraction of requests whose connection closes before they run. */
  closeBeforeRunFraction: number;
  /** Fraction of requests whose connection closes after they ran. */
  closeAfterRunFraction: number;
  /** Fraction of answers that end in the middle of the body. */
  truncateFraction: number;
  /** Replaces the reported health. */
  reportedHealth?: boolean;
  /** Replaces the reported requests in flight. */
  reportedInFlight?: number;
  /** Age of the load and health that are reported, in milliseconds. */
  reportAgeMs: number;
}

/** Describes a backend server without faults. */
export const NO_BACKEND_FAULTS: Readonly<BackendFaults> = {
  serviceTimeFactor: 1,
  shedFraction: 0,
  closeBeforeRunFraction: 0,
  closeAfterRunFraction: 0,
  truncateFraction: 0,
  reportAgeMs: 0,
};
