import {
  type InstanceInfo,
  Liveness,
  type Topology,
} from '@primrosestage/steering';

/** Most instances in an answer, so that its size does not grow with the system. */
const MAX_LISTED = 12;

/** Most instances of the caller's region in an answer. */
const MAX_LISTED_IN_REGION = 8;

/** Lists what the order of an answer depends on. */
export interface RankInstancesOptions {
  topology: Topology;
  /** Region of the caller. */
  region: string;
  getLiveness(instanceId: string): Liveness;
  isDrained(instance: InstanceInfo): boolean;
}

/**
 * Orders the instances for a caller: its region first, then by latency, suspected ones last.
 * Leaving and drained ones are left out while others remain. Each variant begins with another
 * instance of the region, so that callers that take the first one spread over the region.
 * @param options - Topology, caller's region and what is known of the instances.
 * @returns The variants, at least one.
 */
export function rankInstances(options: RankInstancesOptions): InstanceInfo[][] {
  const {topology, getLiveness, isDrained} = options;
  const isSuspected = ({id}: InstanceInfo) =>
    getLiveness(id) === Liveness.Suspected;
  const open = topology.instances.filter(instance => {
    const liveness = getLiveness(instance.id);
    if (liveness === Liveness.Leaving || liveness === Liveness.Gone) {
      return false;
    }
    return !isDrained(instance);
  });
  const listed = open.length > 0 ? open : [...topology.instances];
  const usable = listed.filter(instance => !isSuspected(instance));
  const own = interleaveZones(
    usable.filter(({region}) => region === options.region),
  );
  const others = usable
    .filter(({region}) => region !== options.region)
    .sort((a, b) => getLatency(options, a) - getLatency(options, b));
  const suspected = listed.filter(isSuspected);
  const variants = own.length > 0 ? own.map((_, i) => rotate(own, i)) : [[]];
  return variants.map((variant, i) =>
    [
      ...variant.slice(0, MAX_LISTED_IN_REGION),
      ...rotateWithinRegions(others, i),
      ...suspected,
    ].slice(0, MAX_LISTED),
  );
}

/** Orders instances so that neighbours are of different zones: a lost zone costs one try. */
function interleaveZones(instances: readonly InstanceInfo[]): InstanceInfo[] {
  const seen = new Map<string, number>();
  return instances
    .map(instance => {
      const rank = seen.get(instance.zone) ?? 0;
      seen.set(instance.zone, rank + 1);
      return {instance, rank};
    })
    .sort((a, b) => a.rank - b.rank)
    .map(({instance}) => instance);
}

function rotateWithinRegions(
  instances: readonly InstanceInfo[],
  by: number,
): InstanceInfo[] {
  const regions = [...new Set(instances.map(({region}) => region))];
  return regions.flatMap(region =>
    rotate(
      instances.filter(instance => instance.region === region),
      by,
    ),
  );
}

function rotate<T>(list: readonly T[], by: number): T[] {
  const offset = by % Math.max(1, list.length);
  return [...list.slice(offset), ...list.slice(0, offset)];
}

function getLatency(
  {topology, region}: RankInstancesOptions,
  instance: InstanceInfo,
): number {
  const link = topology.getLink(region, instance.region);
  return link?.oneWayLatencyMs ?? Infinity;
}
