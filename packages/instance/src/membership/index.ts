export {
  createMembershipRouter,
  type MembershipHandlers,
} from './create_membership_router.js';
export {type PeerContact, MembershipTask} from './membership_task.js';
export type {
  ListedInstance,
  MembershipTaskOptions,
  MembershipTiming,
} from './membership_task_options.js';
