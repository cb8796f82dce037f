import {
  type InstanceInfo,
  Liveness,
  type Topology,
} from '@primrosestage/steering';

/** Maximum number of instances in a response, whose size must not grow with the system. */
const MAX_INSTANCES = 12;

/** Maximum number of instances from the caller's region in a response. */
const MAX_INSTANCES_IN_REGION = 8;

/** Inputs that determine the order of the instances. */
export interface RankInstancesOptions {
  topology: Topology;
  /** Region of the caller. */
  region: string;
  getLiveness(instanceId: string): Liveness;
  isDrained(instance: InstanceInfo): boolean;
}

/**
 * Orders the instances for a caller: its own region first, then by latency, suspected ones last.
 * Leaving, gone and drained instances are omitted unless there are no others. Each variant starts
 * with a different instance of the region, so that callers that use the first one are spread
 * across the region.
 * @param options - Topology, caller's region and state of the instances.
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

/** Alternates zones, so that a zone outage costs a caller only one failed attempt. */
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
