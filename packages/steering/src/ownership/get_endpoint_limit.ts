import {
  getCandidateActivity,
  isInactive,
  CandidateActivity,
} from './get_candidate_activity.js';
import type {OwnershipConfig, OwnershipState} from './ownership_state.js';
import {Phase} from './phase.js';

/** Endpoint for which a limit is computed. */
export interface EndpointLimitOptions {
  endpointId: string;
  slots: number;
  /** Candidate ids in order of preference. */
  order: readonly string[];
}

/** Candidates of an endpoint ahead of and behind this instance. */
export interface SplitOrder {
  ahead: readonly string[];
  behind: readonly string[];
}

/**
 * Gets this instance's limit for an endpoint, minus the requests above their limits that other
 * instances report.
 *
 * Of the active candidates, only the first two in the order can have a limit above 0: any
 * other has two ahead of it that it cannot consider inactive. The second has at most
 * floor(slots / 2) while it receives no messages from the first, and the first has more than
 * ceil(slots / 2) only while the second acknowledges its heartbeats.
 * @param state - The ownership state.
 * @param options - The endpoint and its candidate order.
 * @param now - Monotonic time in milliseconds at the call, because fencing depends on it.
 * @param config - The instance and its timing.
 * @returns Maximum number of requests in flight from this instance; 0 if it may not admit any.
 */
export function getEndpointLimit(
  state: OwnershipState,
  options: EndpointLimitOptions,
  now: number,
  config: OwnershipConfig,
): number {
  const limit = getBaseLimit(state, options, now, config);
  if (limit === 0) return 0;
  let excess = 0;
  for (const contact of state.contacts.values()) {
    if (now >= contact.lastMessageAt + config.timing.maxRequestMs) continue;
    excess += contact.excess[options.endpointId] ?? 0;
  }
  return Math.max(0, limit - excess);
}

/**
 * Splits a candidate order at this instance.
 * @param state - The ownership state.
 * @param order - Candidate ids in order of preference.
 * @param config - The instance and its timing.
 * @returns The candidates ahead of and behind this instance; undefined if it is not a candidate.
 */
export function splitOrder(
  state: OwnershipState,
  order: readonly string[],
  config: OwnershipConfig,
): SplitOrder | undefined {
  const index = order.indexOf(config.selfId);
  if (index < 0) return undefined;
  const ahead = order.slice(0, index);
  const behind = order.slice(index + 1);
  if (!state.hasDigestMismatch) return {ahead, behind};
  // Peers with other settings compute other orders; the older of two such instances is ahead.
  const isAhead = (id: string, byOrder: boolean) => {
    const contact = state.contacts.get(id);
    if (!contact || contact.digest === config.digest) return byOrder;
    return contact.incarnation === config.incarnation
      ? id < config.selfId
      : contact.incarnation < config.incarnation;
  };
  const others = [...ahead, ...behind];
  return {
    ahead: others.filter((id, i) => isAhead(id, i < index)),
    behind: others.filter((id, i) => !isAhead(id, i < index)),
  };
}

function getBaseLimit(
  state: OwnershipState,
  options: EndpointLimitOptions,
  now: number,
  config: OwnershipConfig,
): number {
  if (state.phase !== Phase.Active) return 0;
  const split = splitOrder(state, options.order, config);
  if (!split) return 0;
  const lowerHalf = Math.floor(options.slots / 2);
  let unknownId: string | undefined;
  let hasRecentlyInactive = false;
  for (const id of split.ahead) {
    const activity = getCandidateActivity(state, id, now, config);
    if (activity === CandidateActivity.RecentlyInactive)
      hasRecentlyInactive = true;
    if (isInactive(activity)) continue;
    if (activity === CandidateActivity.Active || unknownId !== undefined)
      return 0;
    unknownId = id;
  }
  if (unknownId !== undefined) {
    if (hasRecentlyInactive) return 0;
    return mayTakeOverFrom(state, unknownId, now, config) ? lowerHalf : 0;
  }
  const limit = isAckedBySuccessor(state, split.behind, now, config)
    ? options.slots
    : Math.ceil(options.slots / 2);
  return mayEarlierRequestsRun(state, split.ahead, now, config)
    ? Math.min(limit, Math.max(1, lowerHalf))
    : limit;
}

/**
 * Returns whether the candidate ahead must assume that this instance may take over: it
 * acknowledged that this instance is active, or it can no longer rely on this instance still
 * joining.
 */
function mayTakeOverFrom(
  state: OwnershipState,
  id: string,
  now: number,
  config: OwnershipConfig,
): boolean {
  if (state.contacts.get(id)?.hasAckedActive) return true;
  const hasReachedJoinAge = now - state.startedAt >= config.timing.joinAfterMs;
  return config.isInSettings && hasReachedJoinAge;
}

/** Returns whether the next possibly active candidate acknowledges this instance's heartbeats. */
function isAckedBySuccessor(
  state: OwnershipState,
  behind: readonly string[],
  now: number,
  config: OwnershipConfig,
): boolean {
  for (const id of behind) {
    if (isInactive(getCandidateActivity(state, id, now, config))) continue;
    const contact = state.contacts.get(id);
    if (!contact || contact.isGone) return false;
    const isJoining =
      contact.phase === Phase.Joining && now < contact.joiningUntil;
    if (isJoining) continue;
    return (
      contact.phase === Phase.Active &&
      now < contact.ackedAt + config.timing.fenceAfterMs
    );
  }
  return true;
}

/**
 * Returns whether requests of an earlier owner may still run: those of an ended process of a
 * candidate ahead, or those of an earlier process of this instance.
 */
export function mayEarlierRequestsRun(
  state: OwnershipState,
  ahead: readonly string[],
  now: number,
  config: OwnershipConfig,
): boolean {
  if (now < state.predecessorRequestsUntil) return true;
  const unknownUntil = state.startedAt + config.timing.maxRequestMs;
  return ahead.some(id => {
    const contact = state.contacts.get(id);
    return now < (contact ? contact.orphanedRequestsUntil : unknownUntil);
  });
}
