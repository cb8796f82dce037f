export type {Contact, PeerStatement} from './contact.js';
export {createHash64, type Hash64} from './create_hash64.js';
export type {EndpointOwnership} from './endpoint_ownership.js';
export {
  type CandidateOrderOptions,
  getCandidateOrders,
} from './get_candidate_orders.js';
export {getCandidates} from './get_candidates.js';
export {
  type EndpointLimitOptions,
  getEndpointLimit,
  mayEarlierRequestsRun,
  splitOrder,
  type SplitOrder,
} from './get_endpoint_limit.js';
export {
  getCandidateActivity,
  isInactive,
  CandidateActivity,
} from './get_candidate_activity.js';
export {
  type HeartbeatAckedEvent,
  type GoodbyeEvent,
  type MessageReceivedEvent,
  type ListReadEvent,
  type OwnershipEvent,
  OwnershipEventType,
} from './ownership_event.js';
export {
  createOwnershipState,
  type OwnershipConfig,
  type OwnershipState,
  type PlatformList,
} from './ownership_state.js';
export {
  CLOCK_MARGIN_MS,
  LIST_LAG_MS,
  type OwnershipTiming,
} from './ownership_timing.js';
export {Phase} from './phase.js';
export {reduceOwnership} from './reduce_ownership.js';
