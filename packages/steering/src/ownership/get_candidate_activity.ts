import type {OwnershipConfig, OwnershipState} from './ownership_state.js';
import {CLOCK_MARGIN_MS} from './ownership_timing.js';
import {Phase} from './phase.js';

/** Whether a candidate may be admitting requests, as far as this instance knows. */
export enum CandidateActivity {
  /** It is in the active phase and sent a message within `takeoverAfterMs`. */
  Active = 'present',
  /** It may be alive and may be admitting requests. */
  Unknown = 'doubtful',
  /**
   * No process of its id admits requests now, but an owner ahead of it may still rely on its
   * acknowledgements of the last `fenceAfterMs`.
   */
  RecentlyInactive = 'just-cleared',
  /** No process of its id admits requests now. */
  Inactive = 'clear',
}

/**
 * Determines whether another candidate may be admitting requests.
 * @param state - The ownership state.
 * @param id - Id of the candidate.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance and its timing.
 * @returns The activity of the candidate.
 */
export function getCandidateActivity(
  state: OwnershipState,
  id: string,
  now: number,
  config: OwnershipConfig,
): CandidateActivity {
  const {fenceAfterMs, takeoverAfterMs} = config.timing;
  const contact = state.contacts.get(id);
  const settleMs = fenceAfterMs + CLOCK_MARGIN_MS;
  const getInactivity = (sinceMs: number) =>
    now < sinceMs + settleMs
      ? CandidateActivity.RecentlyInactive
      : CandidateActivity.Inactive;
  if (contact && now < contact.inactiveUntil) {
    return getInactivity(contact.releasedAt);
  }
  if (contact && !contact.isGone) {
    const isActive =
      contact.phase === Phase.Active &&
      now < contact.lastMessageAt + takeoverAfterMs;
    return isActive ? CandidateActivity.Active : CandidateActivity.Unknown;
  }
  return isAbsentFromList(state, id, now, config)
    ? getInactivity(state.absentSince.get(id) ?? now)
    : CandidateActivity.Unknown;
}

/**
 * Returns whether a list shows that no process of the id admits requests. A running process that is
 * not listed yet started less than `listLagMs` before the list was requested, and it admits no
 * requests until `joinAfterMs` after its start.
 */
function isAbsentFromList(
  state: OwnershipState,
  id: string,
  now: number,
  config: OwnershipConfig,
): boolean {
  const {joinAfterMs, listLagMs} = config.timing;
  if (!state.platformList || state.platformList.ids.has(id)) return false;
  const validMs = joinAfterMs - listLagMs - CLOCK_MARGIN_MS;
  return now < state.platformList.requestedAt + validMs;
}

/**
 * Returns whether no process of a candidate admits requests.
 * @param activity - The activity of the candidate.
 * @returns Whether the candidate can be skipped.
 */
export function isInactive(activity: CandidateActivity): boolean {
  return (
    activity === CandidateActivity.Inactive ||
    activity === CandidateActivity.RecentlyInactive
  );
}
