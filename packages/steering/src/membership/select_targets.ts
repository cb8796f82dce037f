import {
  getCandidateActivity,
  isInactive,
  Phase,
  splitOrder,
  CandidateActivity,
} from '../ownership/index.js';
import type {Draft} from './draft.js';
import {type Member, MemberStatus} from './member.js';

/** Number of members per zone that exchange heartbeats with other zones. */
const REPRESENTATIVES_PER_ZONE = 2;
/** Maximum number of targets per heartbeat that have yet to acknowledge this instance's phase. */
const MAX_PEERS_TO_NOTIFY = 3;
/** Number of heartbeats from one ping of a removed member to the next. */
const REMOVED_PING_EVERY_HEARTBEATS = 4;

/**
 * Selects the targets of one heartbeat. Their number is independent of the member count.
 * @param draft - The state, whose ping rounds advance.
 * @returns Ids of the targets.
 */
export function selectTargets(draft: Draft): Set<string> {
  const targets = new Set<string>();
  const add = (id: string | undefined) => {
    if (id !== undefined && draft.members.has(id)) targets.add(id);
  };
  add(takeNextZoneMember(draft));
  if (isRepresentative(draft)) add(takeNextRepresentative(draft));
  if (draft.state.heartbeatCount % REMOVED_PING_EVERY_HEARTBEATS === 0)
    add(pickRemovedMember(draft));
  for (const id of getAdjacentCandidates(draft)) add(id);
  for (const id of getPeersToNotify(draft)) add(id);
  return targets;
}

/**
 * Picks a random element.
 * @param items - The elements.
 * @param random - Returns a number from 0 (inclusive) to 1 (exclusive).
 * @returns The element, or undefined if there is none.
 */
export function pick<T>(
  items: readonly T[],
  random: () => number,
): T | undefined {
  return items[Math.floor(random() * items.length)];
}

function shuffle<T>(items: readonly T[], random: () => number): T[] {
  const remaining = [...items];
  const shuffled: T[] = [];
  while (remaining.length > 0) {
    shuffled.push(
      ...remaining.splice(Math.floor(random() * remaining.length), 1),
    );
  }
  return shuffled;
}

function isPingable({status}: Member): boolean {
  return status === MemberStatus.Alive || status === MemberStatus.Suspected;
}

function takeNextZoneMember(draft: Draft): string | undefined {
  const {config, members} = draft;
  const canPing = (id: string) => {
    const member = members.get(id);
    return member !== undefined && isPingable(member);
  };
  let round = draft.state.zoneMembersToPing.filter(canPing);
  if (round.length === 0) {
    const ids = [...members.values()]
      .filter(m => m.info.zone === config.self.zone && isPingable(m))
      .map(m => m.info.id);
    round = shuffle(ids, config.random);
  }
  const [next, ...rest] = round;
  draft.set({zoneMembersToPing: rest});
  return next;
}

/** Gets the representatives of a zone: its first members by id that are alive or suspected. */
function getRepresentatives(draft: Draft, zone: string): string[] {
  const ids = [...draft.members.values()]
    .filter(m => m.info.zone === zone && isPingable(m))
    .map(m => m.info.id);
  if (zone === draft.config.self.zone) ids.push(draft.config.self.id);
  return ids.sort().slice(0, REPRESENTATIVES_PER_ZONE);
}

function isRepresentative(draft: Draft): boolean {
  const {id, zone} = draft.config.self;
  return getRepresentatives(draft, zone).includes(id);
}

function takeNextRepresentative(draft: Draft): string | undefined {
  const {config, members} = draft;
  let round = draft.state.zonesToPing;
  if (round.length === 0) {
    const zones = new Set([...members.values()].map(m => m.info.zone));
    zones.delete(config.self.zone);
    round = shuffle([...zones], config.random);
  }
  const [zone, ...rest] = round;
  draft.set({zonesToPing: rest});
  if (zone === undefined) return undefined;
  return pick(getRepresentatives(draft, zone), config.random);
}

/** Picks a removed member to ping, so that both sides detect the end of a partition. */
function pickRemovedMember(draft: Draft): string | undefined {
  const isSelfRepresentative = isRepresentative(draft);
  const ids = [...draft.members.values()]
    .filter(
      ({status, info}) =>
        status === MemberStatus.Removed &&
        (isSelfRepresentative || info.zone === draft.config.self.zone),
    )
    .map(({info}) => info.id);
  return pick(ids, draft.config.random);
}

/**
 * Gets the next candidate behind this instance, and the unresponsive candidate ahead of it if there
 * is one, for each endpoint that this instance owns or may take over.
 */
function getAdjacentCandidates(draft: Draft): Set<string> {
  const {config, now, state} = draft;
  const adjacent = new Set<string>();
  if (state.ownership.phase !== Phase.Active) return adjacent;
  const activities = new Map<string, CandidateActivity>();
  const getActivity = (id: string) => {
    const known = activities.get(id);
    if (known) return known;
    const found = getCandidateActivity(
      state.ownership,
      id,
      now,
      config.ownership,
    );
    activities.set(id, found);
    return found;
  };
  for (const id of config.endpoints.keys()) {
    const order = state.orders.get(id) ?? [];
    if (isBehindTwoCandidates(draft, order, getActivity)) continue;
    const split = splitOrder(state.ownership, order, config.ownership);
    if (!split) continue;
    const possiblyActive: string[] = [];
    for (const other of split.ahead) {
      if (!isInactive(getActivity(other))) possiblyActive.push(other);
      if (possiblyActive.length > 1) break;
    }
    const [candidateAhead] = possiblyActive;
    if (possiblyActive.length > 1) continue;
    if (candidateAhead !== undefined) {
      if (getActivity(candidateAhead) === CandidateActivity.Active) continue;
      adjacent.add(candidateAhead);
    }
    // Only the next candidate may admit requests alongside the owner, so only it must receive the
    // owner's heartbeats.
    const candidateBehind = split.behind.find(
      other => !isInactive(getActivity(other)),
    );
    if (candidateBehind !== undefined) adjacent.add(candidateBehind);
  }
  return adjacent;
}

/**
 * Returns whether at least two possibly active candidates precede this instance. This is checked
 * first, because this instance is far down most orders.
 */
function isBehindTwoCandidates(
  draft: Draft,
  order: readonly string[],
  getActivity: (id: string) => CandidateActivity,
): boolean {
  if (draft.state.ownership.hasDigestMismatch) return false;
  let count = 0;
  for (const id of order) {
    if (id === draft.config.self.id) return false;
    if (!isInactive(getActivity(id))) count++;
    if (count > 1) return true;
  }
  return true;
}

/** Gets peers that have yet to acknowledge this process or, once it is active, its active phase. */
function getPeersToNotify(draft: Draft): string[] {
  const {config, now, state} = draft;
  const {ownership} = state;
  if (ownership.phase === Phase.Released) return [];
  const isActive = ownership.phase === Phase.Active;
  const ids = [...ownership.peers].filter(id => {
    const contact = ownership.contacts.get(id);
    if (isActive ? contact?.hasAckedActive : contact?.hasAcked) return false;
    const activity = getCandidateActivity(ownership, id, now, config.ownership);
    return !isActive || !isInactive(activity);
  });
  const start =
    (state.heartbeatCount * MAX_PEERS_TO_NOTIFY) % (ids.length || 1);
  return [...ids.slice(start), ...ids.slice(0, start)].slice(
    0,
    MAX_PEERS_TO_NOTIFY,
  );
}
