import type {Phase} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';

/** Status of a member as seen by this instance. */
export enum MemberStatus {
  Alive = 'alive',
  /** It did not acknowledge heartbeats; it is removed unless it refutes the suspicion. */
  Suspected = 'suspected',
  /** It did not refute the suspicion in time; it may still be alive behind a partition. */
  Removed = 'removed',
  /** Its process is known to have ended. */
  Gone = 'gone',
}

/** State of one member; times are on this instance's monotonic clock. */
export interface Member {
  readonly info: InstanceInfo;
  /** Start time of its process; 0 if no message or update about it has arrived. */
  readonly incarnation: number;
  /** Counter that the member increments to refute a suspicion. */
  readonly refutation: number;
  readonly status: MemberStatus;
  readonly phase: Phase;
  readonly isLeaving: boolean;
  /** Time of the last change of `status`. */
  readonly statusChangedAt: number;
  /** Time at which this incarnation became known or was last in the platform's instance list. */
  readonly seenAt: number;
}

/** Update about a member that instances send to each other. */
export interface MemberUpdate {
  id: string;
  incarnation: number;
  refutation: number;
  status: MemberStatus;
  phase: Phase;
  isLeaving: boolean;
}
