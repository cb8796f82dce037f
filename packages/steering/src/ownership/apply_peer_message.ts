import type {Contact, PeerStatement} from './contact.js';
import type {OwnershipConfig, OwnershipState} from './ownership_state.js';
import {CLOCK_MARGIN_MS} from './ownership_timing.js';
import {Phase} from './phase.js';

const PHASE_ORDER = [Phase.Joining, Phase.Active, Phase.Released];

/**
 * Returns whether a message comes from a process that is known to have ended.
 * @param contact - The known state of the sender.
 * @param incarnation - The incarnation of the message.
 * @returns Whether the message must be ignored.
 */
export function isFromEndedProcess(
  contact: Contact,
  incarnation: number,
): boolean {
  if (incarnation === contact.incarnation) return contact.isGone;
  return incarnation < contact.incarnation;
}

/**
 * Applies a direct message of a peer.
 * @param state - The state before the message.
 * @param peer - The statement of the sender.
 * @param aliveAt - Time at which the sender is known to have been alive, or -Infinity.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance and its timing.
 * @returns The new state.
 */
export function applyPeerMessage(
  state: OwnershipState,
  peer: PeerStatement,
  aliveAt: number,
  now: number,
  config: OwnershipConfig,
): OwnershipState {
  const known = state.contacts.get(peer.id);
  if (known && isFromEndedProcess(known, peer.incarnation)) return state;
  const {joinAfterMs, maxRequestMs} = config.timing;
  const old = known?.incarnation === peer.incarnation ? known : undefined;
  const phase = getLaterPhase(old?.phase ?? Phase.Joining, peer.phase);
  const lastAliveAt = Math.max(old?.aliveAt ?? -Infinity, aliveAt);
  const isNewest = peer.ageMs >= (old?.ageMs ?? 0);
  const contact: Contact = {
    incarnation: peer.incarnation,
    phase,
    digest: peer.digest,
    isGone: false,
    firstMessageAt: old?.firstMessageAt ?? now,
    lastMessageAt: now,
    aliveAt: lastAliveAt,
    ackedAt: old?.ackedAt ?? -Infinity,
    hasAcked: old?.hasAcked ?? false,
    hasAckedActive: old?.hasAckedActive ?? false,
    joiningUntil: Math.max(
      old?.joiningUntil ?? -Infinity,
      aliveAt + joinAfterMs - peer.ageMs - CLOCK_MARGIN_MS,
    ),
    inactiveUntil:
      phase === Phase.Released
        ? lastAliveAt + joinAfterMs - CLOCK_MARGIN_MS
        : -Infinity,
    releasedAt:
      phase === Phase.Released
        ? Math.min(old?.releasedAt ?? Infinity, now)
        : Infinity,
    orphanedRequestsUntil:
      known && !old && !known.isGone
        ? getOrphanedRequestsUntil(known, now, maxRequestMs)
        : (known?.orphanedRequestsUntil ?? -Infinity),
    excess: isNewest ? peer.excess : (old?.excess ?? {}),
    ageMs: Math.max(peer.ageMs, old?.ageMs ?? 0),
  };
  return {
    ...state,
    peers: addPeers(state.peers, [peer.id, ...peer.additions], config.selfId),
    contacts: new Map(state.contacts).set(peer.id, contact),
    hasDigestMismatch: state.hasDigestMismatch || peer.digest !== config.digest,
  };
}

/**
 * Gets the time until which requests of an ended process may still run.
 * @param contact - The known state of the process.
 * @param now - Time at which the evidence of its end arrived, in milliseconds.
 * @param maxRequestMs - Maximum duration of a request, in milliseconds.
 * @returns The time; the existing bound if the process was not active and reported no excess.
 */
export function getOrphanedRequestsUntil(
  contact: Contact,
  now: number,
  maxRequestMs: number,
): number {
  const hasFinished =
    contact.phase !== Phase.Active && Object.keys(contact.excess).length === 0;
  return hasFinished ? contact.orphanedRequestsUntil : now + maxRequestMs;
}

/**
 * Adds ids to a set of peers.
 * @param peers - The set, which is not changed.
 * @param ids - Ids to add.
 * @param selfId - Id of this instance, which is not a peer.
 * @returns The set with the ids; the same set if it already contains all of them.
 */
export function addPeers(
  peers: ReadonlySet<string>,
  ids: Iterable<string>,
  selfId: string,
): ReadonlySet<string> {
  const added = [...ids].filter(id => id !== selfId && !peers.has(id));
  return added.length === 0 ? peers : new Set([...peers, ...added]);
}

/** Messages may arrive out of order, but a process never returns to an earlier phase. */
function getLaterPhase(a: Phase, b: Phase): Phase {
  return PHASE_ORDER.indexOf(a) > PHASE_ORDER.indexOf(b) ? a : b;
}
