export {getLikelyOwner} from './get_likely_owner.js';
export {getLimit} from './create_message.js';
export {SUSPECT_AFTER_HEARTBEATS} from './handle_tick.js';
export {isListNeeded} from './is_list_needed.js';
export {type Member, MemberStatus, type MemberUpdate} from './member.js';
export {
  type AcknowledgeAction,
  type MembershipAction,
  MembershipActionType,
  type PingAction,
  type PingIndirectlyAction,
} from './membership_action.js';
export {type MembershipEvent, MembershipEventType} from './membership_event.js';
export type {ClockStamp, MembershipMessage} from './membership_message.js';
export {
  createMembershipState,
  type MembershipConfig,
  type MembershipState,
} from './membership_state.js';
export {
  createGoodbyes,
  type MembershipResult,
  reduceMembership,
} from './reduce_membership.js';
