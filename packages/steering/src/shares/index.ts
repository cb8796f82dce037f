export {computeTarget, type ComputeTargetOptions} from './compute_target.js';
export type {RegionMeasurement} from './region_measurement.js';
export {
  MAX_MEASUREMENT_AGE_MS,
  ShareState,
  type ShareUpdate,
} from './share_state.js';
export {
  getTotalVariation,
  moveTowards,
  normalizeShares,
  restrictIncreases,
  type ShareVector,
} from './share_vector.js';
export {type ShiftCap, ShiftLimiter} from './shift_limiter.js';
export {ShiftWindow} from './shift_window.js';
export {SlidingWindowCounter} from './sliding_window_counter.js';
