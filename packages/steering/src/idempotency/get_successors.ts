import type {Hash64} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';

/**
 * Gets the instances that may take over the key records of a home instance, in order of preference.
 * @param home - The home instance.
 * @param instances - The live instances.
 * @param hash - The hash function of the rendezvous scores.
 * @returns The other instances in the region of the home instance by descending rendezvous score.
 */
export function getSuccessors(
  home: {id: string; region: string},
  instances: readonly InstanceInfo[],
  hash: Hash64,
): InstanceInfo[] {
  return instances
    .filter(({id, region}) => region === home.region && id !== home.id)
    .map(instance => ({instance, score: hash(`${instance.id}/${home.id}`)}))
    .sort((a, b) => (a.score === b.score ? 0 : a.score > b.score ? -1 : 1))
    .map(({instance}) => instance);
}
