import {combineToFraction, hash32} from '@primrosestage/steering';
import type {Random} from '../create_random.js';
import type {CachingEndpoint} from './caching_endpoint.js';
import {CACHED_WORK_FRACTION} from './deployment.js';
import type {
  DirectPolicy,
  PolicyChoice,
  PolicyRequest,
} from './direct_policy.js';
import type {SimWorld} from './sim_world.js';

/** Time after which the baselines ask a refused caller to retry, in milliseconds. */
const RETRY_AFTER_MS = 500;

/** Creates a policy that chooses the endpoint of the lowest cost among those not tried yet. */
function createMinCostPolicy(
  name: string,
  world: SimWorld,
  getCost: (endpoint: CachingEndpoint, request: PolicyRequest) => number,
): DirectPolicy {
  return {
    name,
    choose(request): PolicyChoice {
      let best: CachingEndpoint | undefined;
      let bestCost = Infinity;
      for (const endpoint of world.getEndpoints(request.kind)) {
        if (request.tried.has(endpoint.entry.id)) continue;
        const cost = getCost(endpoint, request);
        if (cost < bestCost) {
          best = endpoint;
          bestCost = cost;
        }
      }
      return best ? {endpoint: best} : {retryAfterMs: RETRY_AFTER_MS};
    },
  };
}

function getOutstanding({loadReport}: CachingEndpoint): number {
  return loadReport.running + loadReport.waiting;
}

/**
 * Creates the policies to compare with. All but `affinity` read the exact load of every endpoint,
 * which a real instance cannot know.
 * @param world - The simulated deployment.
 * @param random - Source of random choices.
 */
export function createBaselines(
  world: SimWorld,
  random: Random,
): DirectPolicy[] {
  return [
    createMinCostPolicy('least-loaded', world, (endpoint, {zone}) =>
      world.getLatencyMs(zone, endpoint.entry.zone) >
      world.deployment.interZoneMs
        ? Infinity
        : getOutstanding(endpoint) / endpoint.entry.slots,
    ),
    createMinCostPolicy('two-choices', world, (endpoint, request) => {
      const count = world.getEndpoints(request.kind).length;
      return random() < 2 / count ? getOutstanding(endpoint) : 1_000 + random();
    }),
    createMinCostPolicy(
      'affinity',
      world,
      ({entry}, {object}) =>
        -combineToFraction(hash32(object), hash32(entry.id)),
    ),
    createMinCostPolicy('oracle', world, (endpoint, {kind, object, zone}) => {
      const workMs =
        kind.workMs * (endpoint.isCached(object) ? CACHED_WORK_FRACTION : 1);
      const {running, waiting, slots} = endpoint.loadReport;
      const queuedPerSlot = Math.max(0, running + waiting - slots + 1) / slots;
      const latencyMs = world.getLatencyMs(zone, endpoint.entry.zone);
      return (
        2 * latencyMs +
        workMs +
        queuedPerSlot * kind.workMs * CACHED_WORK_FRACTION
      );
    }),
  ];
}
