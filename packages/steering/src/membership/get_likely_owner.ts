import {Phase} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';
import {getLimit} from './create_message.js';
import {MemberStatus} from './member.js';
import type {MembershipConfig, MembershipState} from './membership_state.js';

/**
 * Gets the likely owner of an endpoint. The result is only a hint for routing a request.
 * @param state - The membership state.
 * @param endpointId - Id of the endpoint, of any region.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance and the settings.
 * @returns The first active candidate, else the first about which no message or update has arrived
 *   yet; undefined if every candidate is removed, gone, joining or stopping.
 */
export function getLikelyOwner(
  state: MembershipState,
  endpointId: string,
  now: number,
  config: MembershipConfig,
): InstanceInfo | undefined {
  let neverContacted: InstanceInfo | undefined;
  for (const id of state.orders.get(endpointId) ?? []) {
    if (id === config.self.id) {
      if (getLimit(state, endpointId, now, config) > 0) return config.self;
      continue;
    }
    const member = state.members.get(id);
    if (!member) continue;
    const {incarnation, info, phase, status} = member;
    const isUp =
      status === MemberStatus.Alive || status === MemberStatus.Suspected;
    if (isUp && phase === Phase.Active) return info;
    if (isUp && incarnation === 0) neverContacted ??= info;
  }
  return neverContacted;
}
