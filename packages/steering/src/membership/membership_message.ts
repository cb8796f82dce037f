import type {PeerStatement} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';
import type {MemberUpdate} from './member.js';

/** Names a reading of another instance's clock. */
export interface ClockStamp {
  incarnation: number;
  /** Monotonic time in milliseconds. */
  at: number;
}

/** Carries a heartbeat or its acknowledgement. */
export interface MembershipMessage {
  info: InstanceInfo;
  statement: PeerStatement;
  refutation: number;
  isLeaving: boolean;
  /** The sender's clock. */
  stamp: ClockStamp;
  /** The newest stamp that the sender had of the receiver; it proves how old the message is at most. */
  echo?: ClockStamp;
  /** Incarnation of the receiver that the sender counts as alive, where it knows one. */
  receiverIncarnation?: number;
  /** Time for which requests of an earlier process of the receiver may run. */
  uncleanMs: number;
  updates: MemberUpdate[];
  /** Says that the sender ends now and whether all its requests have finished. */
  goodbye?: {isClean: boolean};
}
