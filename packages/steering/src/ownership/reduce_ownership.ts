import type {Contact} from './contact.js';
import {
  addPeers,
  getEndOfRequests,
  hearPeer,
  isFromEnded,
} from './hear_peer.js';
import {
  type AckedEvent,
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
 * @param state - The state before.
 * @param event - What happened.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance and its times.
 * @returns The state after.
 */
export function reduceOwnership(
  state: OwnershipState,
  event: OwnershipEvent,
  now: number,
  config: OwnershipConfig,
): OwnershipState {
  switch (event.type) {
    case OwnershipEventType.Heard:
      return hearPeer(
        state,
        event.peer,
        event.aliveAt ?? -Infinity,
        now,
        config,
      );
    case OwnershipEventType.Acked:
      return activate(acknowledge(state, event, now, config), now, config);
    case OwnershipEventType.Goodbye:
      return endContact(state, event, now, config);
    case OwnershipEventType.ListRead:
      return readList(state, event, now, config);
    case OwnershipEventType.Tick:
      return activate(state, now, config);
    case OwnershipEventType.Release:
      return {...state, phase: Phase.Released};
  }
}

function acknowledge(
  before: OwnershipState,
  event: AckedEvent,
  now: number,
  config: OwnershipConfig,
): OwnershipState {
  const {peer, sentAt, sentPhase} = event;
  const state = hearPeer(before, peer, sentAt, now, config);
  const contact = state.contacts.get(peer.id);
  if (!contact || isFromEnded(contact, peer.incarnation)) return state;
  const isActive = sentPhase === Phase.Active;
  return {
    ...withContact(state, peer.id, {
      ...contact,
      knowsSelf: true,
      knowsActive: contact.knowsActive || isActive,
      ackedAt: isActive ? Math.max(contact.ackedAt, sentAt) : contact.ackedAt,
    }),
    predecessorUntil:
      event.uncleanMs > 0
        ? Math.max(state.predecessorUntil, now + event.uncleanMs)
        : state.predecessorUntil,
  };
}

function endContact(
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
    clearUntil: aliveAt + joinAfterMs - CLOCK_MARGIN_MS,
    releasedAt: Math.min(contact.releasedAt, now),
    uncleanUntil: event.isClean
      ? contact.uncleanUntil
      : getEndOfRequests(contact, now, maxRequestMs),
    excess: {},
  });
}

/**
 * The list lags by `listLagMs` at most, so an absence is evidence only in a list asked for
 * that long after the instance was last seen.
 */
function readList(
  before: OwnershipState,
  event: ListReadEvent,
  now: number,
  config: OwnershipConfig,
): OwnershipState {
  const {ids, requestedAt} = event;
  if (requestedAt < (before.list?.requestedAt ?? -Infinity)) return before;
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
      contact.firstHeardAt,
      lastListedAt.get(id) ?? -Infinity,
    );
    const hasVanished =
      !ids.has(id) && requestedAt >= seenAt + listLagMs + CLOCK_MARGIN_MS;
    if (contact.isGone || !hasVanished) continue;
    contacts.set(id, {
      ...contact,
      isGone: true,
      uncleanUntil: getEndOfRequests(contact, now, maxRequestMs),
      excess: {},
    });
  }
  return {
    ...before,
    peers,
    contacts,
    list: {requestedAt, ids},
    lastListedAt,
    absentSince,
  };
}

/** Ends the joining phase when every peer knows of this process, or by its age. */
function activate(
  state: OwnershipState,
  now: number,
  config: OwnershipConfig,
): OwnershipState {
  if (state.phase !== Phase.Joining) return state;
  const isOldEnough = now - state.startedAt >= config.timing.joinAfterMs;
  const isKnown = [...state.peers].every(id => {
    const contact = state.contacts.get(id);
    return contact && !contact.isGone && contact.knowsSelf;
  });
  return isOldEnough || isKnown ? {...state, phase: Phase.Active} : state;
}

function withContact(
  state: OwnershipState,
  id: string,
  contact: Contact,
): OwnershipState {
  return {...state, contacts: new Map(state.contacts).set(id, contact)};
}
