import {
  getEndpointLimit,
  type PeerStatement,
  Phase,
} from '../ownership/index.js';
import {createUpdate, type Draft} from './draft.js';
import {MemberStatus, type MemberUpdate} from './member.js';
import type {MembershipMessage} from './membership_message.js';
import type {MembershipConfig, MembershipState} from './membership_state.js';

/** Most updates that one message carries. */
const MAX_UPDATES = 16;
/** Members per message that did not change; a change that a receiver missed reaches it so. */
const REPEATED_UPDATES = 2;

/**
 * Creates a message to another instance and counts its updates as sent.
 * @param draft - The state, whose queue of updates changes.
 * @param receiverId - Id of the receiver.
 * @returns The message.
 */
export function createMessage(
  draft: Draft,
  receiverId: string,
): MembershipMessage {
  const {config, now} = draft;
  const updates = takeUpdates(draft, receiverId);
  const {state} = draft;
  const contact = state.ownership.contacts.get(receiverId);
  return {
    info: config.self,
    statement: createStatement(state, now, config),
    refutation: state.refutation,
    isLeaving: state.isLeaving,
    stamp: {incarnation: config.ownership.incarnation, at: now},
    echo: state.stamps.get(receiverId),
    receiverIncarnation: contact?.isGone ? undefined : contact?.incarnation,
    uncleanMs: Math.max(0, (contact?.uncleanUntil ?? -Infinity) - now),
    updates,
  };
}

/**
 * Creates the last message of a process that stops.
 * @param draft - The state.
 * @param receiverId - Id of the receiver.
 * @param isClean - Whether all requests to endpoints have finished.
 * @returns The message.
 */
export function createGoodbye(
  draft: Draft,
  receiverId: string,
  isClean: boolean,
): MembershipMessage {
  return {...createMessage(draft, receiverId), goodbye: {isClean}};
}

function createStatement(
  state: MembershipState,
  now: number,
  config: MembershipConfig,
): PeerStatement {
  const {ownership} = state;
  const inSettings = new Set(config.ownership.peers);
  return {
    id: config.self.id,
    incarnation: config.ownership.incarnation,
    phase: ownership.phase,
    digest: config.ownership.digest,
    ageMs: now - ownership.startedAt,
    excess: getExcess(state, now, config),
    additions: [...ownership.contacts]
      .filter(([id, {isGone}]) => !isGone && !inSettings.has(id))
      .map(([id]) => id),
  };
}

function getExcess(
  state: MembershipState,
  now: number,
  config: MembershipConfig,
): Record<string, number> {
  const excess: Record<string, number> = {};
  for (const [endpointId, inFlight] of config.getInFlight()) {
    const over = inFlight - getLimit(state, endpointId, now, config);
    if (over > 0) excess[endpointId] = over;
  }
  return excess;
}

/**
 * Gets this instance's limit for an endpoint.
 * @param state - The membership.
 * @param endpointId - Id of the endpoint.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance and the settings.
 * @returns Most requests in flight; 0 where this instance may not act.
 */
export function getLimit(
  state: MembershipState,
  endpointId: string,
  now: number,
  config: MembershipConfig,
): number {
  const slots = config.endpoints.find(({id}) => id === endpointId)?.slots ?? 0;
  const order = state.orders.get(endpointId) ?? [];
  return getEndpointLimit(
    state.ownership,
    {endpointId, slots, order},
    now,
    config.ownership,
  );
}

/** A receiver that is accused learns so first, because only it can refute. */
function takeUpdates(draft: Draft, receiverId: string): MemberUpdate[] {
  const receiver = draft.members.get(receiverId);
  const isAccused =
    receiver?.status === MemberStatus.Suspected ||
    receiver?.status === MemberStatus.Removed;
  const accusation = receiver && isAccused ? [createUpdate(receiver)] : [];
  const chosen = [...draft.updates]
    .filter(([id]) => id !== receiverId)
    .sort(([, a], [, b]) => b.sendsLeft - a.sendsLeft)
    .slice(0, MAX_UPDATES - accusation.length);
  for (const [id, {update, sendsLeft}] of chosen) {
    if (sendsLeft <= 1) draft.updates.delete(id);
    else draft.updates.set(id, {update, sendsLeft: sendsLeft - 1});
  }
  const updates = [...accusation, ...chosen.map(([, {update}]) => update)];
  const named = new Set([receiverId, ...updates.map(({id}) => id)]);
  return [...updates, ...repeatMembers(draft, named, updates.length)];
}

/** A receiver that joins gets as many members as fit, because it knows none. */
function repeatMembers(
  draft: Draft,
  named: ReadonlySet<string>,
  updateCount: number,
): MemberUpdate[] {
  const {state, config} = draft;
  const members = [...draft.members.values()].filter(
    ({info, incarnation}) => incarnation > 0 && !named.has(info.id),
  );
  const [receiverId = ''] = named;
  const isJoining =
    (state.members.get(receiverId)?.phase ?? Phase.Joining) === Phase.Joining;
  const count = Math.min(
    MAX_UPDATES - updateCount,
    isJoining ? MAX_UPDATES : REPEATED_UPDATES,
  );
  const start = Math.floor(config.random() * members.length);
  return [...members.slice(start), ...members.slice(0, start)]
    .slice(0, count)
    .map(createUpdate);
}
