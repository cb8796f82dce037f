/** Holds what an instance knows of a service in one region. */
export interface RegionMeasurement {
  /** Slots of the endpoints that are not drained and have an owner that may be used. */
  slots: number;
  /** Free slots by the owners' reports. */
  freeSlots: number;
  /** Age of the oldest report that counts, in milliseconds; Infinity where there is none. */
  ageMs: number;
  /** Whether a drain takes the region out of service. */
  isDrained: boolean;
  /** Whether no owner of the service can be used there. */
  isFailed: boolean;
}
