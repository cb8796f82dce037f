import {OwnershipEventType} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';
import {createGoodbye, createMessage} from './create_message.js';
import {Draft} from './draft.js';
import {handleTick} from './handle_tick.js';
import {type Member, MemberStatus} from './member.js';
import {
  type MembershipAction,
  MembershipActionType,
} from './membership_action.js';
import {
  type AcknowledgedEvent,
  type ListReadEvent,
  type MembershipEvent,
  MembershipEventType,
} from './membership_event.js';
import type {MembershipMessage} from './membership_message.js';
import type {MembershipConfig, MembershipState} from './membership_state.js';

/** Result of applying an event. */
export interface MembershipResult {
  state: MembershipState;
  actions: MembershipAction[];
}

/**
 * Applies an event to the membership.
 * @param state - The state before the event.
 * @param event - The event to apply.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance, the settings and the functions for external inputs.
 * @returns The new state and the actions that the task must execute.
 */
export function reduceMembership(
  state: MembershipState,
  event: MembershipEvent,
  now: number,
  config: MembershipConfig,
): MembershipResult {
  const draft = new Draft(state, now, config);
  const actions = handleEvent(draft, event);
  return {state: draft.state, actions};
}

/**
 * Creates the goodbye messages of a process that is about to exit.
 * @param state - The state of the process.
 * @param isClean - Whether all its requests to endpoints have finished.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance and the settings.
 * @returns One message for each member that is not gone.
 */
export function createGoodbyes(
  state: MembershipState,
  isClean: boolean,
  now: number,
  config: MembershipConfig,
): Array<{target: InstanceInfo; message: MembershipMessage}> {
  const draft = new Draft(state, now, config);
  return [...state.members.values()]
    .filter(({status}) => status !== MemberStatus.Gone)
    .map(({info}) => ({
      target: info,
      message: createGoodbye(draft, info.id, isClean),
    }));
}

function handleEvent(draft: Draft, event: MembershipEvent): MembershipAction[] {
  switch (event.type) {
    case MembershipEventType.Tick:
      return handleTick(draft);
    case MembershipEventType.Received:
      return handleReceived(draft, event.message);
    case MembershipEventType.Acknowledged:
      handleAcknowledged(draft, event);
      return [];
    case MembershipEventType.IndirectlyAcknowledged:
      draft.setPendingPing(event.pingId, undefined);
      return [];
    case MembershipEventType.ListRead:
      handleListRead(draft, event);
      return [];
    case MembershipEventType.Leave:
      draft.set({isLeaving: true});
      draft.queueSelfUpdate();
      return [];
    case MembershipEventType.Release:
      draft.set({isLeaving: true});
      draft.applyOwnership({type: OwnershipEventType.Release});
      draft.queueSelfUpdate();
      return [];
  }
}

function handleReceived(
  draft: Draft,
  message: MembershipMessage,
): MembershipAction[] {
  const {id} = message.statement;
  applyMessage(draft, message);
  if (isInOwnRegion(draft, id)) {
    const isOwnStamp =
      message.echo?.incarnation === draft.config.ownership.incarnation;
    const aliveAt = isOwnStamp ? message.echo?.at : undefined;
    const peer = message.statement;
    if (message.goodbye) {
      draft.applyOwnership({
        type: OwnershipEventType.Goodbye,
        id,
        incarnation: peer.incarnation,
        aliveAt,
        isClean: message.goodbye.isClean,
      });
    } else {
      draft.applyOwnership({
        type: OwnershipEventType.MessageReceived,
        peer,
        aliveAt,
      });
    }
  }
  const answer = createMessage(draft, id);
  return [{type: MembershipActionType.Acknowledge, message: answer}];
}

function handleAcknowledged(draft: Draft, event: AcknowledgedEvent): void {
  const {message, pingId, sentAt, sentPhase} = event;
  draft.setPendingPing(pingId, undefined);
  applyMessage(draft, message);
  if (!isInOwnRegion(draft, message.statement.id)) return;
  const peer = message.statement;
  // The peer ignores this process if it considers another process of the same id alive.
  if (message.receiverIncarnation !== draft.config.ownership.incarnation) {
    draft.applyOwnership({type: OwnershipEventType.MessageReceived, peer});
    return;
  }
  draft.applyOwnership({
    type: OwnershipEventType.HeartbeatAcked,
    peer,
    sentAt,
    sentPhase,
    uncleanMs: message.uncleanMs,
  });
}

function isInOwnRegion(draft: Draft, id: string): boolean {
  return draft.members.get(id)?.info.region === draft.config.self.region;
}

/** Applies the sender's state and the updates about other members from a direct message. */
function applyMessage(draft: Draft, message: MembershipMessage): void {
  const {info, statement, refutation, isLeaving, goodbye, stamp} = message;
  const {id} = statement;
  if (info && !draft.members.has(id)) draft.addMember(info);
  draft.applyUpdate({
    id: id,
    incarnation: statement.incarnation,
    refutation,
    status: goodbye ? MemberStatus.Gone : MemberStatus.Alive,
    phase: statement.phase,
    isLeaving,
  });
  for (const update of message.updates) draft.applyUpdate(update);
  const lastStamp = draft.state.clockStamps.get(id);
  const isNewer =
    !lastStamp ||
    stamp.incarnation > lastStamp.incarnation ||
    (stamp.incarnation === lastStamp.incarnation && stamp.at > lastStamp.at);
  if (!isNewer) return;
  draft.set({clockStamps: new Map(draft.state.clockStamps).set(id, stamp)});
}

/** Adds or updates listed instances, and marks members gone whose absence proves their end. */
function handleListRead(draft: Draft, event: ListReadEvent): void {
  const {config, now} = draft;
  const ids = new Set(event.instances.map(({id}) => id));
  for (const info of event.instances) {
    if (!isSameInfo(draft.members.get(info.id)?.info, info)) {
      draft.addMember(info);
    }
  }
  for (const [id, member] of draft.members) {
    if (ids.has(id)) {
      draft.setMember(id, {...member, seenAt: now});
    } else if (isAbsenceConclusive(member, event.requestedAt, config)) {
      draft.changeMember(id, {status: MemberStatus.Gone});
    }
  }
  draft.applyOwnership({
    type: OwnershipEventType.ListRead,
    requestedAt: event.requestedAt,
    ids: new Set(
      event.instances
        .filter(({region}) => region === config.self.region)
        .map(({id}) => id),
    ),
  });
}

function isSameInfo(a: InstanceInfo | undefined, b: InstanceInfo): boolean {
  return (
    a?.internalAddress === b.internalAddress &&
    a.publicAddress === b.publicAddress
  );
}

/**
 * Returns whether the absence from a list proves that a process ended. The list may be out of date
 * by `listLagMs`, so it must have been requested more than that after the process became known or
 * was last listed.
 */
function isAbsenceConclusive(
  member: Member,
  requestedAt: number,
  config: MembershipConfig,
): boolean {
  return (
    member.incarnation > 0 &&
    member.status !== MemberStatus.Gone &&
    requestedAt > member.seenAt + config.ownership.timing.listLagMs
  );
}
