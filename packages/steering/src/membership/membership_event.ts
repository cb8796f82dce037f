import type {Phase} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';
import type {MembershipMessage} from './membership_message.js';

/** Names what happens to the membership state. */
export enum MembershipEventType {
  Tick = 'tick',
  Received = 'received',
  Acknowledged = 'acknowledged',
  IndirectlyAcknowledged = 'indirectly-acknowledged',
  ListRead = 'list-read',
  Leave = 'leave',
  Release = 'release',
}

/** Lets time pass; comes every half heartbeat. */
export interface TickEvent {
  type: MembershipEventType.Tick;
}

/** Reports a heartbeat or goodbye of another instance. */
export interface ReceivedEvent {
  type: MembershipEventType.Received;
  message: MembershipMessage;
}

/** Reports the answer to a heartbeat. */
export interface AcknowledgedEvent {
  type: MembershipEventType.Acknowledged;
  pingId: number;
  sentAt: number;
  sentPhase: Phase;
  message: MembershipMessage;
}

/** Reports that another instance reached the target of an unanswered heartbeat. */
export interface IndirectlyAcknowledgedEvent {
  type: MembershipEventType.IndirectlyAcknowledged;
  pingId: number;
}

/** Reports the platform's list. */
export interface ListReadEvent {
  type: MembershipEventType.ListRead;
  /** Time at which the list was asked for. */
  requestedAt: number;
  instances: readonly InstanceInfo[];
}

/** Announces that this instance will stop. */
export interface LeaveEvent {
  type: MembershipEventType.Leave;
}

/** Gives up all endpoints. */
export interface ReleaseEvent {
  type: MembershipEventType.Release;
}

export type MembershipEvent =
  | TickEvent
  | ReceivedEvent
  | AcknowledgedEvent
  | IndirectlyAcknowledgedEvent
  | ListReadEvent
  | LeaveEvent
  | ReleaseEvent;
