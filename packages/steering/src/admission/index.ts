export * from './admission_state.js';
export {compareRequests} from './compare_requests.js';
export * from './endpoint_health.js';
export {
  getFreeSlots,
  getOwnedSlots,
  getServiceFreeSlots,
} from './get_free_slots.js';
export {getSlowStartLimit} from './get_slow_start_limit.js';
export {
  createAdmissionState,
  getNextDecisionAt,
  reduceAdmission,
} from './reduce_admission.js';
export {RefusalReason} from './refusal_reason.js';
export {RequestOrigin} from './request_origin.js';
