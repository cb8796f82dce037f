import type {PeerStatement} from './contact.js';
import type {Phase} from './phase.js';

/** Names what happens to the ownership state. */
export enum OwnershipEventType {
  MessageReceived = 'heard',
  HeartbeatAcked = 'acked',
  Goodbye = 'goodbye',
  ListRead = 'list-read',
  Tick = 'tick',
  Release = 'release',
}

/** Reports a direct message of another instance. */
export interface MessageReceivedEvent {
  type: OwnershipEventType.MessageReceived;
  peer: PeerStatement;
  /** Time of this clock that the sender had seen when it sent the message, where it says so. */
  aliveAt?: number;
}

/** Reports the acknowledgement of a heartbeat. */
export interface HeartbeatAckedEvent {
  type: OwnershipEventType.HeartbeatAcked;
  peer: PeerStatement;
  /** Time at which the heartbeat was sent. */
  sentAt: number;
  /** Phase that the heartbeat carried. */
  sentPhase: Phase;
  /** Time for which requests of an earlier process of this id may still run, as the peer knows. */
  uncleanMs: number;
}

/** Reports that a process ended. */
export interface GoodbyeEvent {
  type: OwnershipEventType.Goodbye;
  id: string;
  incarnation: number;
  /** As in `HeardEvent`; undefined where another instance passed the goodbye on. */
  aliveAt?: number;
  /** Whether its requests had finished. */
  isClean: boolean;
}

/** Reports the platform's list. */
export interface ListReadEvent {
  type: OwnershipEventType.ListRead;
  /** Time at which the list was asked for. */
  requestedAt: number;
  /** Ids of the listed instances of the region. */
  ids: ReadonlySet<string>;
}

/** Lets time pass. */
export interface TickEvent {
  type: OwnershipEventType.Tick;
}

/** Gives up all endpoints for good. */
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
