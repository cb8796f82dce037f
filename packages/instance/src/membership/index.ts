export {
  createMembershipRouter,
  type MembershipHandlers as MembershipHandlers,
} from './create_membership_router.js';
export {
  type PeerContact as PeerContact,
  MembershipTask,
} from './membership_task.js';
export type {
  ListedInstance,
  MembershipTaskOptions,
  MembershipTiming,
} from './membership_task_options.js';
