import type {Phase} from './phase.js';

/** Holds what a message says about its sender's part in ownership. */
export interface PeerStatement {
  id: string;
  /** Start time of the process; a higher one proves that the process before it ended. */
  incarnation: number;
  phase: Phase;
  /** Hash of the members and endpoints that the sender's candidate orders come from. */
  digest: string;
  /** Age of the process in milliseconds. */
  ageMs: number;
  /** Requests in flight above the sender's limit, by endpoint id. */
  excess: Readonly<Record<string, number>>;
  /** Instances of the region that the sender knows and that its settings do not name. */
  additions: string[];
}

/** Holds what this instance knows of one other instance; times are on its monotonic clock. */
export interface Contact {
  readonly incarnation: number;
  readonly phase: Phase;
  readonly digest: string;
  /** Whether it is proved that the process of this incarnation ended. */
  readonly isGone: boolean;
  readonly firstMessageAt: number;
  /** Time at which its last direct message arrived. */
  readonly heardAt: number;
  /** Latest time at which it is known to have been alive, however late the message arrived. */
  readonly aliveAt: number;
  /** Time at which the last acknowledged heartbeat of this instance was sent while active. */
  readonly ackedAt: number;
  /** Whether it acknowledged a heartbeat of this instance. */
  readonly hasAcked: boolean;
  /** Whether it acknowledged a heartbeat that said that this instance is active. */
  readonly hasAckedActive: boolean;
  /** Time until which a joining instance cannot become active by its age. */
  readonly joiningUntil: number;
  /** Time until which no process of this id can act: it released or said goodbye. */
  readonly inactiveUntil: number;
  /** Time at which its release or goodbye arrived; Infinity before. */
  readonly releasedAt: number;
  /** Time until which requests of an incarnation that ended may run. */
  readonly orphanedRequestsUntil: number;
  readonly excess: Readonly<Record<string, number>>;
  /** Age of its process in the message that `excess` came from. */
  readonly ageMs: number;
}
