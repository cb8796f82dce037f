import {combineToFraction, hash32} from './hash_fraction.js';
import type {MemberInfo} from './member_info.js';

/**
 * Chooses the instance that issues the permits of a limited endpoint, by rendezvous hashing. All
 * instances with the same view choose the same one.
 * @param instances - The live instances that serve callers.
 * @param endpoint - Hash of the endpoint's id.
 * @param region - Region of the endpoint, whose instances are preferred: most of its requests
 *     arrive there, and they can reach it if the region is cut off.
 */
export function chooseCoordinator(
  instances: readonly MemberInfo[],
  endpoint: number,
  region: string | undefined,
): MemberInfo | undefined {
  let best: MemberInfo | undefined;
  let bestKey = Infinity;
  for (const info of instances) {
    const distance = info.region === region ? 0 : 1;
    const key = distance + combineToFraction(hash32(info.id), endpoint);
    const isTie = key === bestKey && best !== undefined && info.id < best.id;
    if (key < bestKey || isTie) {
      best = info;
      bestKey = key;
    }
  }
  return best;
}
