import type {OwnershipConfig, OwnershipState} from './ownership_state.js';
import {CLOCK_MARGIN_MS} from './ownership_timing.js';
import {Phase} from './phase.js';

/** Says what a candidate may be doing now, as far as this instance knows. */
export enum Standing {
  /** It was heard within `takeoverAfterMs` and acts. */
  Active = 'present',
  /** It may be alive and may act. */
  Unknown = 'doubtful',
  /**
   * No process of its id acts now, but an owner ahead of it may still count on its
   * acknowledgements of the last `fenceAfterMs`.
   */
  RecentlyInactive = 'just-cleared',
  /** No process of its id acts now. */
  Inactive = 'clear',
}

/**
 * Gets the standing of another candidate.
 * @param state - The ownership state.
 * @param id - Id of the candidate.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance and its times.
 * @returns The standing.
 */
export function getStanding(
  state: OwnershipState,
  id: string,
  now: number,
  config: OwnershipConfig,
): Standing {
  const {fenceAfterMs, takeoverAfterMs} = config.timing;
  const contact = state.contacts.get(id);
  const settleMs = fenceAfterMs + CLOCK_MARGIN_MS;
  const getInactivity = (sinceMs: number) =>
    now < sinceMs + settleMs ? Standing.RecentlyInactive : Standing.Inactive;
  if (contact && now < contact.inactiveUntil) {
    return getInactivity(contact.releasedAt);
  }
  if (contact && !contact.isGone) {
    const isActive =
      contact.phase === Phase.Active && now < contact.heardAt + takeoverAfterMs;
    return isActive ? Standing.Active : Standing.Unknown;
  }
  return isAbsentFromList(state, id, now, config)
    ? getInactivity(state.absentSince.get(id) ?? now)
    : Standing.Unknown;
}

/**
 * A process that a list does not show yet started less than `listLagMs` before the list was
 * asked for and acts no earlier than `joinAfterMs` after its start.
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
 * Says whether a standing excludes that a process of the candidate acts.
 * @param activity - The standing.
 * @returns Whether the candidate can be skipped.
 */
export function isInactive(activity: Standing): boolean {
  return (
    activity === Standing.Inactive || activity === Standing.RecentlyInactive
  );
}
