import type {Phase} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';
import type {MembershipMessage} from './membership_message.js';

/** Kinds of events that the membership reducer handles. */
export enum MembershipEventType {
  Tick = 'tick',
  Received = 'received',
  Acknowledged = 'acknowledged',
  IndirectlyAcknowledged = 'indirectly-acknowledged',
  ListRead = 'list-read',
  Leave = 'leave',
  Release = 'release',
}

/** Triggers timeouts and due heartbeats; dispatched every half heartbeat interval. */
export interface TickEvent {
  type: MembershipEventType.Tick;
}

/** Reports a heartbeat or goodbye from another instance. */
export interface ReceivedEvent {
  type: MembershipEventType.Received;
  message: MembershipMessage;
}

/** Reports the acknowledgement of a heartbeat. */
export interface AcknowledgedEvent {
  type: MembershipEventType.Acknowledged;
  pingId: number;
  sentAt: number;
  sentPhase: Phase;
  message: MembershipMessage;
}

/** Reports that another instance reached the target of an unacknowledged heartbeat. */
export interface IndirectlyAcknowledgedEvent {
  type: MembershipEventType.IndirectlyAcknowledged;
  pingId: number;
}

/** Reports the content of the platform's instance list. */
export interface ListReadEvent {
  type: MembershipEventType.ListRead;
  /** Time at which the list was requested. */
  requestedAt: number;
  instances: readonly InstanceInfo[];
}

/** Announces that this instance will stop. */
export interface LeaveEvent {
  type: MembershipEventType.Leave;
}

/** Releases ownership of all endpoints. */
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
