import type {Phase} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';

/** Says what is believed of a member. */
export enum MemberStatus {
  Alive = 'alive',
  /** It did not answer; it is removed unless it refutes the suspicion. */
  Suspected = 'suspected',
  /** It did not refute the suspicion; it may be alive behind a partition. */
  Removed = 'removed',
  /** It is proved that its process ended. */
  Gone = 'gone',
}

/** Holds what is known of one member; times are on this instance's monotonic clock. */
export interface Member {
  readonly info: InstanceInfo;
  /** Start time of its process; 0 where it was never heard of. */
  readonly incarnation: number;
  /** Counter that a member raises to refute a suspicion. */
  readonly refutation: number;
  readonly status: MemberStatus;
  readonly phase: Phase;
  readonly isLeaving: boolean;
  /** Time of the last change of `status`. */
  readonly statusChangedAt: number;
  /** Time at which this incarnation was first heard of or last seen in the platform's list. */
  readonly seenAt: number;
}

/** Tells other instances what is believed of a member. */
export interface MemberUpdate {
  id: string;
  incarnation: number;
  refutation: number;
  status: MemberStatus;
  phase: Phase;
  isLeaving: boolean;
}
