export {
  createMembershipRouter,
  type MembershipCalls,
} from './create_membership_router.js';
export {type ContactView, MembershipTask} from './membership_task.js';
export type {
  ListedInstance,
  MembershipTaskOptions,
  MembershipTiming,
} from './membership_task_options.js';
