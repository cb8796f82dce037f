import type {Hash64} from '../ownership/index.js';

/** Watchers per zone; the second one receives changes while a watch of the first stalls. */
export const WATCHERS_PER_ZONE = 2;

/**
 * Chooses the instances of a zone that hold watches on the store, by rendezvous hashing.
 * @param zone - Name of the zone.
 * @param liveIds - Ids of the zone's live instances.
 * @param hash - Hash that is the same on every instance.
 * @returns At most two ids, the highest score first; the loss of one instance moves only one watch.
 */
export function chooseWatchers(
  zone: string,
  liveIds: readonly string[],
  hash: Hash64,
): string[] {
  return liveIds
    .map(id => ({id, score: hash(`watch/${zone}/${id}`)}))
    .sort((a, b) => (a.score > b.score ? -1 : a.score < b.score ? 1 : 0))
    .slice(0, WATCHERS_PER_ZONE)
    .map(({id}) => id);
}
