/** Holds an instance's measurement of a service in one region. */
export interface RegionMeasurement {
  /** Slots of the endpoints that are not drained and have a usable owner. */
  slots: number;
  /** Free slots according to the owners' reports. */
  freeSlots: number;
  /** Age of the oldest report that is used, in milliseconds; Infinity if there is none. */
  ageMs: number;
  /** Whether a drain takes the region out of service. */
  isDrained: boolean;
  /** Whether the service has no usable owner in the region. */
  isFailed: boolean;
}
