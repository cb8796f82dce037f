import {
  type InstanceInfo,
  Liveness,
  type Topology,
} from '@primrosestage/steering';

/** Most instances in an answer, so that its size does not grow with the system. */
const MAX_INSTANCES = 12;

/** Most instances of the caller's region in an answer. */
const MAX_INSTANCES_IN_REGION = 8;

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
  const available = topology.instances.filter(instance => {
    const liveness = getLiveness(instance.id);
    if (liveness === Liveness.Leaving || liveness === Liveness.Gone) {
      return false;
    }
    return !isDrained(instance);
  });
  const candidates = available.length > 0 ? available : [...topology.instances];
  const usable = candidates.filter(instance => !isSuspected(instance));
  const sameRegion = interleaveZones(
    usable.filter(({region}) => region === options.region),
  );
  const otherRegions = usable
    .filter(({region}) => region !== options.region)
    .sort((a, b) => getLatencyMs(options, a) - getLatencyMs(options, b));
  const suspected = candidates.filter(isSuspected);
  const variants =
    sameRegion.length > 0
      ? sameRegion.map((_, i) => rotate(sameRegion, i))
      : [[]];
  return variants.map((variant, i) =>
    [
      ...variant.slice(0, MAX_INSTANCES_IN_REGION),
      ...rotateWithinRegions(otherRegions, i),
      ...suspected,
    ].slice(0, MAX_INSTANCES),
  );
}

/** Orders instances so that neighbours are of different zones: a lost zone costs one try. */
function interleaveZones(instances: readonly InstanceInfo[]): InstanceInfo[] {
  const countsByZone = new Map<string, number>();
  return instances
    .map(instance => {
      const rank = countsByZone.get(instance.zone) ?? 0;
      countsByZone.set(instance.zone, rank + 1);
      return {instance, rank};
    })
    .sort((a, b) => a.rank - b.rank)
    .map(({instance}) => instance);
}

function rotateWithinRegions(
  instances: readonly InstanceInfo[],
  steps: number,
): InstanceInfo[] {
  const regions = [...new Set(instances.map(({region}) => region))];
  return regions.flatMap(region =>
    rotate(
      instances.filter(instance => instance.region === region),
      steps,
    ),
  );
}

function rotate<T>(list: readonly T[], steps: number): T[] {
  const offset = steps % Math.max(1, list.length);
  return [...list.slice(offset), ...list.slice(0, offset)];
}

function getLatencyMs(
  {topology, region}: RankInstancesOptions,
  instance: InstanceInfo,
): number {
  const link = topology.getLink(region, instance.region);
  return link?.oneWayLatencyMs ?? Infinity;
}
