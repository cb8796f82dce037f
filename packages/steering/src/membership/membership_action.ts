import type {Phase} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';
import type {MembershipMessage} from './membership_message.js';

/** Kinds of actions that the reducer requests from the membership task. */
export enum MembershipActionType {
  Ping = 'ping',
  PingIndirectly = 'ping-indirectly',
  Acknowledge = 'acknowledge',
}

/** Sends a heartbeat. */
export interface PingAction {
  type: MembershipActionType.Ping;
  pingId: number;
  target: InstanceInfo;
  sentAt: number;
  sentPhase: Phase;
  message: MembershipMessage;
}

/** Asks another instance to probe the target of an unacknowledged heartbeat. */
export interface PingIndirectlyAction {
  type: MembershipActionType.PingIndirectly;
  pingId: number;
  via: InstanceInfo;
  target: InstanceInfo;
}

/** Acknowledges the message of the event. */
export interface AcknowledgeAction {
  type: MembershipActionType.Acknowledge;
  message: MembershipMessage;
}

export type MembershipAction =
  PingAction | PingIndirectlyAction | AcknowledgeAction;
