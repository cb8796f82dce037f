import type {PeerStatement} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';
import type {MemberUpdate} from './member.js';

/** Reading of an instance's monotonic clock. */
export interface ClockStamp {
  incarnation: number;
  /** Monotonic time in milliseconds. */
  at: number;
}

/** Heartbeat, acknowledgement or goodbye. */
export interface MembershipMessage {
  /** The sender; absent if the receiver has acknowledged an earlier message. */
  info?: InstanceInfo;
  statement: PeerStatement;
  refutation: number;
  isLeaving: boolean;
  /** The sender's clock at the time of sending. */
  stamp: ClockStamp;
  /** Newest stamp that the sender has from the receiver; it bounds the age of the message. */
  echo?: ClockStamp;
  /** Incarnation of the receiver that the sender considers alive; absent if it knows none. */
  receiverIncarnation?: number;
  /** Milliseconds for which requests of an earlier process of the receiver may still run. */
  uncleanMs: number;
  updates: MemberUpdate[];
  /** Present if the sender is about to exit; `isClean` if all its requests have finished. */
  goodbye?: {isClean: boolean};
}
