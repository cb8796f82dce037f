import type {PeerStatement} from './contact.js';
import type {Phase} from './phase.js';

/** Kinds of events that the ownership reducer handles. */
export enum OwnershipEventType {
  MessageReceived = 'heard',
  HeartbeatAcked = 'acked',
  Goodbye = 'goodbye',
  ListRead = 'list-read',
  Tick = 'tick',
  Release = 'release',
}

/** Reports a direct message from another instance. */
export interface MessageReceivedEvent {
  type: OwnershipEventType.MessageReceived;
  peer: PeerStatement;
  /** Newest time of this instance's clock that the sender knew; undefined if it knew none. */
  aliveAt?: number;
}

/** Reports the acknowledgement of a heartbeat. */
export interface HeartbeatAckedEvent {
  type: OwnershipEventType.HeartbeatAcked;
  peer: PeerStatement;
  /** Time at which the heartbeat was sent. */
  sentAt: number;
  /** Phase of this instance in the heartbeat. */
  sentPhase: Phase;
  /** Milliseconds for which requests of an earlier process of this id may run, per the peer. */
  uncleanMs: number;
}

/** Reports that a process ended. */
export interface GoodbyeEvent {
  type: OwnershipEventType.Goodbye;
  id: string;
  incarnation: number;
  /** As in `MessageReceivedEvent`; also undefined if another instance reported the end. */
  aliveAt?: number;
  /** Whether all its requests had finished. */
  isClean: boolean;
}

/** Reports the content of the platform's instance list. */
export interface ListReadEvent {
  type: OwnershipEventType.ListRead;
  /** Time at which the list was requested. */
  requestedAt: number;
  /** Ids of the listed instances of the region. */
  ids: ReadonlySet<string>;
}

/** Triggers checks that depend on the time. */
export interface TickEvent {
  type: OwnershipEventType.Tick;
}

/** Permanently releases ownership of all endpoints. */
export interface ReleaseEvent {
  type: OwnershipEventType.Release;
}

export type OwnershipEvent =
  | MessageReceivedEvent
  | HeartbeatAckedEvent
  | GoodbyeEvent
  | ListReadEvent
  | TickEvent
  | ReleaseEvent;
