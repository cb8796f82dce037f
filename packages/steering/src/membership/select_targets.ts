import {
  getStanding,
  isClear,
  Phase,
  splitOrder,
  Standing,
} from '../ownership/index.js';
import type {Draft} from './draft.js';
import {type Member, MemberStatus} from './member.js';

/** Members of a zone that exchange heartbeats with other zones. */
const REPRESENTATIVES = 2;
/** Candidates behind the owner that hear it directly; only the next one can act beside it. */
const WATCHERS = 2;
/** Peers per heartbeat that have yet to acknowledge the present phase of this instance. */
const INTRODUCTIONS = 3;
/** Heartbeats between attempts to reach a removed member. */
const REMOVED_EVERY = 4;

/**
 * Selects the targets of one heartbeat; their number does not depend on the member count.
 * @param draft - The state, whose rounds advance.
 * @returns Ids of the targets.
 */
export function selectTargets(draft: Draft): Set<string> {
  const targets = new Set<string>();
  const add = (id: string | undefined) => {
    if (id !== undefined && draft.members.has(id)) targets.add(id);
  };
  add(takeZoneMember(draft));
  if (isRepresentative(draft)) add(takeOtherZone(draft));
  if (draft.state.heartbeatCount % REMOVED_EVERY === 0) add(pickRemoved(draft));
  for (const id of getOwnershipNeighbours(draft)) add(id);
  for (const id of getIntroductions(draft)) add(id);
  return targets;
}

/**
 * Picks a random element.
 * @param items - The elements.
 * @param random - Gives a number from 0 to 1, 1 excluded.
 * @returns The element, or undefined where there is none.
 */
export function pick<T>(
  items: readonly T[],
  random: () => number,
): T | undefined {
  return items[Math.floor(random() * items.length)];
}

function shuffle<T>(items: readonly T[], random: () => number): T[] {
  const left = [...items];
  const shuffled: T[] = [];
  while (left.length > 0) {
    shuffled.push(...left.splice(Math.floor(random() * left.length), 1));
  }
  return shuffled;
}

function isPinged({status}: Member): boolean {
  return status === MemberStatus.Alive || status === MemberStatus.Suspected;
}

function takeZoneMember(draft: Draft): string | undefined {
  const {config, members} = draft;
  const canPing = (id: string) => {
    const member = members.get(id);
    return member !== undefined && isPinged(member);
  };
  let round = draft.state.memberRound.filter(canPing);
  if (round.length === 0) {
    const ids = [...members.values()]
      .filter(m => m.info.zone === config.self.zone && isPinged(m))
      .map(m => m.info.id);
    round = shuffle(ids, config.random);
  }
  const [next, ...rest] = round;
  draft.set({memberRound: rest});
  return next;
}

/** The representatives of a zone are its first members by id that are not removed. */
function getRepresentatives(draft: Draft, zone: string): string[] {
  const ids = [...draft.members.values()]
    .filter(m => m.info.zone === zone && isPinged(m))
    .map(m => m.info.id);
  if (zone === draft.config.self.zone) ids.push(draft.config.self.id);
  return ids.sort().slice(0, REPRESENTATIVES);
}

function isRepresentative(draft: Draft): boolean {
  const {id, zone} = draft.config.self;
  return getRepresentatives(draft, zone).includes(id);
}

function takeOtherZone(draft: Draft): string | undefined {
  const {config, members} = draft;
  let round = draft.state.zoneRound;
  if (round.length === 0) {
    const zones = new Set([...members.values()].map(m => m.info.zone));
    zones.delete(config.self.zone);
    round = shuffle([...zones], config.random);
  }
  const [zone, ...rest] = round;
  draft.set({zoneRound: rest});
  if (zone === undefined) return undefined;
  return pick(getRepresentatives(draft, zone), config.random);
}

/** Removed members are still tried, so that a partition that ends is noticed from both sides. */
function pickRemoved(draft: Draft): string | undefined {
  const isOther = isRepresentative(draft);
  const ids = [...draft.members.values()]
    .filter(
      ({status, info}) =>
        status === MemberStatus.Removed &&
        (isOther || info.zone === draft.config.self.zone),
    )
    .map(({info}) => info.id);
  return pick(ids, draft.config.random);
}

/**
 * Gets the next candidates of the endpoints that this instance owns or may take over, and the
 * silent candidate that it passes over.
 */
function getOwnershipNeighbours(draft: Draft): Set<string> {
  const {config, now, state} = draft;
  const neighbours = new Set<string>();
  if (state.ownership.phase !== Phase.Active) return neighbours;
  const standings = new Map<string, Standing>();
  const getStandingOf = (id: string) => {
    const known = standings.get(id);
    if (known) return known;
    const found = getStanding(state.ownership, id, now, config.ownership);
    standings.set(id, found);
    return found;
  };
  for (const {id} of config.endpoints) {
    const order = state.orders.get(id) ?? [];
    const split = splitOrder(state.ownership, order, config.ownership);
    if (!split) continue;
    const waiting: string[] = [];
    for (const other of split.ahead) {
      if (!isClear(getStandingOf(other))) waiting.push(other);
      if (waiting.length > 1) break;
    }
    const [first] = waiting;
    if (waiting.length > 1) continue;
    if (first !== undefined) {
      if (getStandingOf(first) === Standing.Present) continue;
      neighbours.add(first);
    }
    let watchers = 0;
    for (const other of split.behind) {
      if (watchers === WATCHERS) break;
      if (isClear(getStandingOf(other))) continue;
      neighbours.add(other);
      watchers++;
    }
  }
  return neighbours;
}

/** Gets peers that have yet to learn that this process exists, or that it is active. */
function getIntroductions(draft: Draft): string[] {
  const {config, now, state} = draft;
  const {ownership} = state;
  if (ownership.phase === Phase.Released) return [];
  const isActive = ownership.phase === Phase.Active;
  const ids = [...ownership.peers].filter(id => {
    const contact = ownership.contacts.get(id);
    if (isActive ? contact?.knowsActive : contact?.knowsSelf) return false;
    const standing = getStanding(ownership, id, now, config.ownership);
    return !isActive || !isClear(standing);
  });
  const start = (state.heartbeatCount * INTRODUCTIONS) % (ids.length || 1);
  return [...ids.slice(start), ...ids.slice(0, start)].slice(0, INTRODUCTIONS);
}
