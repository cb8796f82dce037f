import type {Phase} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';
import type {MembershipMessage} from './membership_message.js';

/** Names what the task has to do. */
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

/** Asks another instance to reach the target of an unanswered heartbeat. */
export interface PingIndirectlyAction {
  type: MembershipActionType.PingIndirectly;
  pingId: number;
  via: InstanceInfo;
  target: InstanceInfo;
}

/** Answers the heartbeat that the event reported. */
export interface AcknowledgeAction {
  type: MembershipActionType.Acknowledge;
  message: MembershipMessage;
}

export type MembershipAction =
  PingAction | PingIndirectlyAction | AcknowledgeAction;
