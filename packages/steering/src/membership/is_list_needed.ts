import {Phase} from '../ownership/index.js';
import {MemberStatus} from './member.js';
import type {MembershipConfig, MembershipState} from './membership_state.js';

/** Number of candidates of an endpoint that read the list if one of them is down. */
const LIST_READERS = 4;

/**
 * Returns whether the platform's instance list can change the limits of this instance. The list is
 * large and every read counts against the store's rate limit, so few instances read it often.
 * @param state - The membership state.
 * @param config - The instance and the settings.
 * @returns True if this instance is joining, or if it is among the first candidates of an endpoint
 *   and one of these candidates is down.
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
    // Counts only candidates that are up, so that enough of them read the list.
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
