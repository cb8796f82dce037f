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

/** Holds what an event leads to. */
export interface MembershipResult {
  state: MembershipState;
  actions: MembershipAction[];
}

/**
 * Applies an event to the membership.
 * @param state - The state before.
 * @param event - What happened.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance, the settings and functions that give outside values.
 * @returns The state after and what the task has to do.
 */
export function reduceMembership(
  state: MembershipState,
  event: MembershipEvent,
  now: number,
  config: MembershipConfig,
): MembershipResult {
  const draft = new Draft(state, now, config);
  const actions = handle(draft, event);
  return {state: draft.state, actions};
}

/**
 * Creates the goodbyes of a process that ends.
 * @param state - The state of the process.
 * @param isClean - Whether all its requests to endpoints have finished.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance and the settings.
 * @returns The message for each member that is not gone.
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

function handle(draft: Draft, event: MembershipEvent): MembershipAction[] {
  switch (event.type) {
    case MembershipEventType.Tick:
      return handleTick(draft);
    case MembershipEventType.Received:
      return handleReceived(draft, event.message);
    case MembershipEventType.Acknowledged:
      handleAcknowledged(draft, event);
      return [];
    case MembershipEventType.IndirectlyAcknowledged:
      draft.pending.delete(event.pingId);
      return [];
    case MembershipEventType.ListRead:
      handleList(draft, event);
      return [];
    case MembershipEventType.Leave:
      draft.set({isLeaving: true});
      draft.queueSelf();
      return [];
    case MembershipEventType.Release:
      draft.set({isLeaving: true});
      draft.applyOwnership({type: OwnershipEventType.Release});
      draft.queueSelf();
      return [];
  }
}

function handleReceived(
  draft: Draft,
  message: MembershipMessage,
): MembershipAction[] {
  const {id, region} = message.info;
  applySender(draft, message);
  if (region === draft.config.self.region) {
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
      draft.applyOwnership({type: OwnershipEventType.Heard, peer, aliveAt});
    }
  }
  const answer = createMessage(draft, id);
  return [{type: MembershipActionType.Acknowledge, message: answer}];
}

function handleAcknowledged(draft: Draft, event: AcknowledgedEvent): void {
  const {message, pingId, sentAt, sentPhase} = event;
  draft.pending.delete(pingId);
  applySender(draft, message);
  if (message.info.region !== draft.config.self.region) return;
  const peer = message.statement;
  // A receiver that counts another process of this id as the living one ignores this one.
  if (message.receiverIncarnation !== draft.config.ownership.incarnation) {
    draft.applyOwnership({type: OwnershipEventType.Heard, peer});
    return;
  }
  draft.applyOwnership({
    type: OwnershipEventType.Acked,
    peer,
    sentAt,
    sentPhase,
    uncleanMs: message.uncleanMs,
  });
}

/** Applies what a direct message says of its sender and of others. */
function applySender(draft: Draft, message: MembershipMessage): void {
  const {info, statement, refutation, isLeaving, goodbye, stamp} = message;
  const old = draft.members.get(info.id);
  if (!old) draft.addMember(info);
  draft.applyUpdate({
    id: info.id,
    incarnation: statement.incarnation,
    refutation,
    status: goodbye ? MemberStatus.Gone : MemberStatus.Alive,
    phase: statement.phase,
    isLeaving,
  });
  for (const update of message.updates) draft.applyUpdate(update);
  const lastStamp = draft.state.stamps.get(info.id);
  const isNewer =
    !lastStamp ||
    stamp.incarnation > lastStamp.incarnation ||
    (stamp.incarnation === lastStamp.incarnation && stamp.at > lastStamp.at);
  if (!isNewer) return;
  draft.set({stamps: new Map(draft.state.stamps).set(info.id, stamp)});
}

/** Takes addresses from the list, and evidence that processes ended. */
function handleList(draft: Draft, event: ListReadEvent): void {
  const {config, now} = draft;
  const ids = new Set(event.instances.map(({id}) => id));
  for (const info of event.instances) draft.addMember(info);
  for (const [id, member] of draft.members) {
    if (ids.has(id)) {
      draft.members.set(id, {...member, seenAt: now});
    } else if (hasVanished(member, event.requestedAt, config)) {
      draft.changeMember(id, {status: MemberStatus.Gone});
    }
  }
  const isOfRegion = ({region}: {region: string}) =>
    region === config.self.region;
  draft.applyOwnership({
    type: OwnershipEventType.ListRead,
    requestedAt: event.requestedAt,
    ids: new Set(event.instances.filter(isOfRegion).map(({id}) => id)),
  });
}

/** An absence is evidence only in a list asked for later than the lag after the last sight. */
function hasVanished(
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
