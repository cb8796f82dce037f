import type {Endpoint, InstanceInfo} from '../topology/index.js';
import type {Hash64} from './create_hash64.js';
import {getCandidates} from './get_candidates.js';

/** Maximum number of endpoints that one instance owns, as a factor of the mean of its zone. */
const LOAD_FACTOR = 1.25;

/** Candidates kept for an endpoint of another region; its owner is only a routing hint. */
const REMOTE_CANDIDATES = 6;

/** Inputs of the candidate orders. */
export interface CandidateOrderOptions {
  endpoints: readonly Endpoint[];
  /** Instances listed in the settings, live or not. */
  members: readonly InstanceInfo[];
  /**
   * Instances known only from the platform's instance list or from messages. They come last,
   * because that list lags differently on each instance, and a position among the configured
   * members would make the orders differ between instances.
   */
  additions?: readonly InstanceInfo[];
  hash: Hash64;
  /** Region that gets complete orders; others keep only the first `REMOTE_CANDIDATES`. */
  region?: string;
}

/**
 * Computes the candidate order of every endpoint by rendezvous hashing with bounded loads.
 * @param options - Endpoints, members, additions and the hash function for the scores.
 * @returns Instance ids in order of preference, by endpoint id.
 */
export function getCandidateOrders(
  options: CandidateOrderOptions,
): Map<string, readonly string[]> {
  const {endpoints, members, additions = [], hash, region} = options;
  const orders = new Map<string, readonly string[]>();
  const owned = new Map<string, number>();
  const bounds = getZoneBounds(endpoints, members);
  const sorted = [...endpoints].sort((a, b) => (a.id < b.id ? -1 : 1));
  for (const endpoint of sorted) {
    const order = getCandidates(endpoint, members, hash);
    const bound = bounds.get(endpoint.zone) ?? Infinity;
    const first = order.findIndex(
      ({id, zone}) => zone === endpoint.zone && (owned.get(id) ?? 0) < bound,
    );
    if (first > 0) order.unshift(...order.splice(first, 1));
    const [owner] = order;
    if (owner?.zone === endpoint.zone) {
      owned.set(owner.id, (owned.get(owner.id) ?? 0) + 1);
    }
    const isRemote = region !== undefined && region !== endpoint.region;
    const ids = [...order, ...getCandidates(endpoint, additions, hash)].slice(
      0,
      isRemote ? REMOTE_CANDIDATES : undefined,
    );
    orders.set(
      endpoint.id,
      ids.map(({id}) => id),
    );
  }
  return orders;
}

function getZoneBounds(
  endpoints: readonly Endpoint[],
  members: readonly InstanceInfo[],
): Map<string, number> {
  const bounds = new Map<string, number>();
  for (const zone of new Set(endpoints.map(e => e.zone))) {
    const endpointCount = endpoints.filter(e => e.zone === zone).length;
    const memberCount = members.filter(m => m.zone === zone).length;
    bounds.set(zone, Math.ceil((LOAD_FACTOR * endpointCount) / memberCount));
  }
  return bounds;
}
