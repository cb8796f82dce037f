import type {Contact} from './contact.js';
import {
  addPeers,
  getOrphanedRequestsUntil,
  applyPeerMessage,
  isFromEndedProcess,
} from './apply_peer_message.js';
import {
  type HeartbeatAckedEvent,
  type GoodbyeEvent,
  type ListReadEvent,
  type OwnershipEvent,
  OwnershipEventType,
} from './ownership_event.js';
import type {OwnershipConfig, OwnershipState} from './ownership_state.js';
import {CLOCK_MARGIN_MS} from './ownership_timing.js';
import {Phase} from './phase.js';

/**
 * Applies an event to the ownership state.
 * @param state - The state before the event.
 * @param event - The event to apply.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance and its timing.
 * @returns The new state.
 */
export function reduceOwnership(
  state: OwnershipState,
  event: OwnershipEvent,
  now: number,
  config: OwnershipConfig,
): OwnershipState {
  switch (event.type) {
    case OwnershipEventType.MessageReceived:
      return applyPeerMessage(
        state,
        event.peer,
        event.aliveAt ?? -Infinity,
        now,
        config,
      );
    case OwnershipEventType.HeartbeatAcked:
      return activateIfReady(
        applyAcknowledgement(state, event, now, config),
        now,
        config,
      );
    case OwnershipEventType.Goodbye:
      return applyGoodbye(state, event, now, config);
    case OwnershipEventType.ListRead:
      return applyListRead(state, event, now, config);
    case OwnershipEventType.Tick:
      return activateIfReady(state, now, config);
    case OwnershipEventType.Release:
      return {...state, phase: Phase.Released};
  }
}

function applyAcknowledgement(
  before: OwnershipState,
  event: HeartbeatAckedEvent,
  now: number,
  config: OwnershipConfig,
): OwnershipState {
  const {peer, sentAt, sentPhase} = event;
  const state = applyPeerMessage(before, peer, sentAt, now, config);
  const contact = state.contacts.get(peer.id);
  if (!contact || isFromEndedProcess(contact, peer.incarnation)) return state;
  const isActive = sentPhase === Phase.Active;
  return {
    ...withContact(state, peer.id, {
      ...contact,
      hasAcked: true,
      hasAckedActive: contact.hasAckedActive || isActive,
      ackedAt: isActive ? Math.max(contact.ackedAt, sentAt) : contact.ackedAt,
    }),
    predecessorRequestsUntil:
      event.uncleanMs > 0
        ? Math.max(state.predecessorRequestsUntil, now + event.uncleanMs)
        : state.predecessorRequestsUntil,
  };
}

function applyGoodbye(
  state: OwnershipState,
  event: GoodbyeEvent,
  now: number,
  config: OwnershipConfig,
): OwnershipState {
  const contact = state.contacts.get(event.id);
  if (contact?.incarnation !== event.incarnation || contact.isGone) {
    return state;
  }
  const {joinAfterMs, maxRequestMs} = config.timing;
  const aliveAt = Math.max(contact.aliveAt, event.aliveAt ?? -Infinity);
  return withContact(state, event.id, {
    ...contact,
    isGone: true,
    aliveAt,
    inactiveUntil: aliveAt + joinAfterMs - CLOCK_MARGIN_MS,
    releasedAt: Math.min(contact.releasedAt, now),
    orphanedRequestsUntil: event.isClean
      ? contact.orphanedRequestsUntil
      : getOrphanedRequestsUntil(contact, now, maxRequestMs),
    excess: {},
  });
}

/**
 * Applies a list. The list may be out of date by `listLagMs`, so an absence proves that a process
 * ended only if the list was requested at least that long, plus the clock margin, after the first
 * message of the process arrived or a list last contained it.
 */
function applyListRead(
  before: OwnershipState,
  event: ListReadEvent,
  now: number,
  config: OwnershipConfig,
): OwnershipState {
  const {ids, requestedAt} = event;
  if (requestedAt < (before.platformList?.requestedAt ?? -Infinity))
    return before;
  const lastListedAt = new Map(before.lastListedAt);
  for (const id of ids) lastListedAt.set(id, now);
  const peers = addPeers(before.peers, ids, config.selfId);
  const absentSince = new Map<string, number>();
  for (const id of peers) {
    if (ids.has(id)) continue;
    absentSince.set(id, before.absentSince.get(id) ?? now);
  }
  const contacts = new Map(before.contacts);
  const {listLagMs, maxRequestMs} = config.timing;
  for (const [id, contact] of contacts) {
    const seenAt = Math.max(
      contact.firstMessageAt,
      lastListedAt.get(id) ?? -Infinity,
    );
    const isAbsenceConclusive =
      !ids.has(id) && requestedAt >= seenAt + listLagMs + CLOCK_MARGIN_MS;
    if (contact.isGone || !isAbsenceConclusive) continue;
    contacts.set(id, {
      ...contact,
      isGone: true,
      orphanedRequestsUntil: getOrphanedRequestsUntil(
        contact,
        now,
        maxRequestMs,
      ),
      excess: {},
    });
  }
  return {
    ...before,
    peers,
    contacts,
    platformList: {requestedAt, ids},
    lastListedAt,
    absentSince,
  };
}

/** Ends the joining phase once every peer acknowledged this process or `joinAfterMs` has passed. */
function activateIfReady(
  state: OwnershipState,
  now: number,
  config: OwnershipConfig,
): OwnershipState {
  if (state.phase !== Phase.Joining) return state;
  const hasReachedJoinAge = now - state.startedAt >= config.timing.joinAfterMs;
  const isKnownToAllPeers = [...state.peers].every(id => {
    const contact = state.contacts.get(id);
    return contact && !contact.isGone && contact.hasAcked;
  });
  return hasReachedJoinAge || isKnownToAllPeers
    ? {...state, phase: Phase.Active}
    : state;
}

function withContact(
  state: OwnershipState,
  id: string,
  contact: Contact,
): OwnershipState {
  return {...state, contacts: new Map(state.contacts).set(id, contact)};
}
