import type {Endpoint, InstanceInfo} from '../topology/index.js';
import type {Hash64} from './create_hash64.js';

/**
 * Gets the instances that may own an endpoint, in order of preference.
 * @param endpoint - The endpoint.
 * @param members - The instances to choose from, live or not.
 * @param hash - The hash function for the rendezvous scores.
 * @returns Members of the endpoint's zone by score, then the others of its region.
 */
export function getCandidates(
  endpoint: Endpoint,
  members: readonly InstanceInfo[],
  hash: Hash64,
): InstanceInfo[] {
  return members
    .filter(({region}) => region === endpoint.region)
    .map(member => ({
      member,
      isLocal: member.zone === endpoint.zone,
      score: hash(`${member.id}/${endpoint.id}`),
    }))
    .sort((a, b) => {
      if (a.isLocal !== b.isLocal) return a.isLocal ? -1 : 1;
      return a.score === b.score ? 0 : a.score > b.score ? -1 : 1;
    })
    .map(({member}) => member);
}
