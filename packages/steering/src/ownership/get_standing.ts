import type {OwnershipConfig, OwnershipState} from './ownership_state.js';
import {CLOCK_MARGIN_MS} from './ownership_timing.js';
import {Phase} from './phase.js';

/** Says what a candidate may be doing now, as far as this instance knows. */
export enum Standing {
  /** It was heard within `takeoverAfterMs` and acts. */
  Present = 'present',
  /** It may be alive and may act. */
  Doubtful = 'doubtful',
  /**
   * No process of its id acts now, but an owner ahead of it may still count on its
   * acknowledgements of the last `fenceAfterMs`.
   */
  JustCleared = 'just-cleared',
  /** No process of its id acts now. */
  Clear = 'clear',
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
  const getCleared = (sinceMs: number) =>
    now < sinceMs + settleMs ? Standing.JustCleared : Standing.Clear;
  if (contact && now < contact.clearUntil) {
    return getCleared(contact.releasedAt);
  }
  if (contact && !contact.isGone) {
    const isHeard =
      contact.phase === Phase.Active && now < contact.heardAt + takeoverAfterMs;
    return isHeard ? Standing.Present : Standing.Doubtful;
  }
  return isAbsentFromList(state, id, now, config)
    ? getCleared(state.absentSince.get(id) ?? now)
    : Standing.Doubtful;
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
  if (!state.list || state.list.ids.has(id)) return false;
  const validMs = joinAfterMs - listLagMs - CLOCK_MARGIN_MS;
  return now < state.list.requestedAt + validMs;
}

/**
 * Says whether a standing excludes that a process of the candidate acts.
 * @param standing - The standing.
 * @returns Whether the candidate can be skipped.
 */
export function isClear(standing: Standing): boolean {
  return standing === Standing.Clear || standing === Standing.JustCleared;
}
