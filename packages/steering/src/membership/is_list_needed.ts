import {Phase} from '../ownership/index.js';
import {MemberStatus} from './member.js';
import type {MembershipConfig, MembershipState} from './membership_state.js';

/** Candidates of an endpoint that read the list when one of them is down. */
const LIST_READERS = 4;

/**
 * Says whether the platform's list can change what this instance may do. The list is large
 * and every read counts against the store's rate, so few instances read it often.
 * @param state - The membership.
 * @param config - The instance and the settings.
 * @returns Whether this instance joins, or is among the first candidates of an endpoint of
 *   which one is not alive.
 */
export function isListNeeded(
  state: MembershipState,
  config: MembershipConfig,
): boolean {
  if (state.ownership.phase === Phase.Joining) return true;
  const {peers} = state.ownership;
  const downIds = new Set(
    [...peers].filter(id => {
      const member = state.members.get(id);
      return (
        member === undefined ||
        member.incarnation === 0 ||
        member.status !== MemberStatus.Alive ||
        member.phase === Phase.Released
      );
    }),
  );
  if (downIds.size === 0) return false;
  for (const id of config.endpoints.keys()) {
    // A candidate that is down does not count as a reader, so that one that is up reads.
    let upCount = 0;
    let hasDown = false;
    let hasSelf = false;
    for (const candidate of state.orders.get(id) ?? []) {
      if (candidate === config.self.id) hasSelf = true;
      if (downIds.has(candidate)) hasDown = true;
      else upCount++;
      if (upCount === LIST_READERS) break;
    }
    if (hasSelf && hasDown) return true;
  }
  return false;
}
