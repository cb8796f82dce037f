import type {Phase} from './phase.js';

/** Ownership state that the sender of a message reports about itself. */
export interface PeerStatement {
  id: string;
  /** Start time of the process; a higher one proves that the previous process ended. */
  incarnation: number;
  phase: Phase;
  /** Hash of the members and endpoints from which the sender computes its candidate orders. */
  digest: string;
  /** Age of the process in milliseconds. */
  ageMs: number;
  /** Requests in flight above the sender's limit, by endpoint id. */
  excess: Readonly<Record<string, number>>;
  /** Instances of the region that the sender knows but its settings do not list. */
  additions: string[];
}

/** State of a peer as known to this instance; times are on this instance's monotonic clock. */
export interface Contact {
  readonly incarnation: number;
  readonly phase: Phase;
  readonly digest: string;
  /** Whether the process of this incarnation is known to have ended. */
  readonly isGone: boolean;
  /** Time at which the first direct message of this incarnation arrived. */
  readonly firstMessageAt: number;
  /** Time at which its last direct message arrived. */
  readonly lastMessageAt: number;
  /** Latest time at which it is known to have been alive, regardless of message delays. */
  readonly aliveAt: number;
  /** Send time of the last acknowledged heartbeat that this instance sent while active. */
  readonly ackedAt: number;
  /** Whether it acknowledged any heartbeat of this process. */
  readonly hasAcked: boolean;
  /** Whether it acknowledged a heartbeat that this process sent while active. */
  readonly hasAckedActive: boolean;
  /** Time before which a joining peer cannot become active because of its age. */
  readonly joiningUntil: number;
  /** Time until which no process of this id can admit requests after a release or goodbye. */
  readonly inactiveUntil: number;
  /** Time at which its release or goodbye arrived; Infinity before. */
  readonly releasedAt: number;
  /** Time until which requests of an ended incarnation may still run. */
  readonly orphanedRequestsUntil: number;
  readonly excess: Readonly<Record<string, number>>;
  /** Age of its process, as reported in the message that `excess` comes from. */
  readonly ageMs: number;
}
