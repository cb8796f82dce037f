/** Faults of a backend server, which can be changed at run time. */
export interface BackendFaults {
  /** Multiplies service times. */
  serviceTimeFactor: number;
  /** Fraction of requests refused with `not-run`. */
  shedFraction: number;
  /** Fraction of requests whose connection is closed before they run. */
  closeBeforeRunFraction: number;
  /** Fraction of requests whose connection is closed after they ran. */
  closeAfterRunFraction: number;
  /** Fraction of answers that end in the middle of the body. */
  truncateFraction: number;
  /** Overrides the reported health. */
  reportedHealth?: boolean;
  /** Overrides the reported number of requests in flight. */
  reportedInFlight?: number;
  /** Age of the reported load, in milliseconds. */
  reportAgeMs: number;
}

/** Settings of a backend server without faults. */
export const NO_BACKEND_FAULTS: Readonly<BackendFaults> = {
  serviceTimeFactor: 1,
  shedFraction: 0,
  closeBeforeRunFraction: 0,
  closeAfterRunFraction: 0,
  truncateFraction: 0,
  reportAgeMs: 0,
};
