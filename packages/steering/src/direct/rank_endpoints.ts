import {combineToFraction} from './hash_fraction.js';

/** Endpoint to be ranked. */
export interface RankedEndpoint {
  id: string;
  /** Hash of the id. */
  hash: number;
  /** Relative capacity for requests of this instance's region; 0 excludes the endpoint. */
  weight: number;
}

/**
 * Ranks endpoints for an object by weighted rendezvous hashing: each endpoint ranks first for a
 * share of objects in proportion to its weight, and a change of one endpoint moves only objects
 * to or from it.
 * @param objectHash - Hash of the service and the object.
 * @param endpoints - Endpoints to rank.
 * @param count - Maximum number of endpoints to return.
 * @returns Ids, best first.
 */
export function rankEndpoints(
  objectHash: number,
  endpoints: readonly RankedEndpoint[],
  count: number,
): string[] {
  const scored: Array<{id: string; score: number}> = [];
  for (const {id, hash, weight} of endpoints) {
    if (weight <= 0) continue;
    const fraction = combineToFraction(objectHash, hash);
    scored.push({id, score: -weight / Math.log(fraction)});
  }
  scored.sort((a, b) => b.score - a.score);
  return scored.slice(0, count).map(({id}) => id);
}
