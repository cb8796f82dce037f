import {Phase} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';
import {getLimit} from './create_message.js';
import {MemberStatus} from './member.js';
import type {MembershipConfig, MembershipState} from './membership_state.js';

/**
 * Gets the instance that is believed to own an endpoint; a hint for the sender of a request.
 * @param state - The membership.
 * @param endpointId - Id of the endpoint, of any region.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance and the settings.
 * @returns The first candidate that acts, else the first that was never heard; undefined where
 *   every candidate is removed, gone, joining or stopping.
 */
export function getBelievedOwner(
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
