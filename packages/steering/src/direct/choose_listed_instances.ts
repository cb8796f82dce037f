import type {MemberInfo} from './member_info.js';

/** Fewest instances that are listed, so that callers can fail over when two of them end. */
const MIN_LISTED = 4;
/**
 * Fraction of a region's capacity that is listed at least. It covers demand that triples between
 * two answers of the directory while the instances are used to a third.
 */
const MIN_CAPACITY_FRACTION = 1 / 3;
/** Utilization for which the listed instances are planned. */
const TARGET_UTILIZATION = 0.35;

/**
 * Chooses the instances of one region that callers should use. Few large instances keep more
 * connections to endpoints open and know the load of endpoints better than many small ones, whose
 * links are also slower. Under load more are listed: their number follows from the capacity that
 * all instances of the region use, which does not depend on the number that is listed.
 * @param instances - Instances of the region that accept requests.
 * @returns Those to list, largest first; all if the capacity of one is not known.
 */
export function chooseListedInstances(
  instances: readonly MemberInfo[],
): readonly MemberInfo[] {
  if (instances.some(({capacity}) => capacity === undefined)) return instances;
  let total = 0;
  let used = 0;
  for (const {capacity = 0, utilization = 0} of instances) {
    total += capacity;
    used += capacity * utilization;
  }
  const required = Math.max(
    total * MIN_CAPACITY_FRACTION,
    used / TARGET_UTILIZATION,
  );
  const listed: MemberInfo[] = [];
  let capacity = 0;
  for (const instance of [...instances].sort(compareByCapacity)) {
    if (listed.length >= MIN_LISTED && capacity >= required) break;
    listed.push(instance);
    capacity += instance.capacity ?? 0;
  }
  return listed;
}

/**
 * Compares instances by capacity, largest first; all instances sort alike.
 * @param a - An instance.
 * @param b - Another instance.
 */
export function compareByCapacity(a: MemberInfo, b: MemberInfo): number {
  const difference = (b.capacity ?? 0) - (a.capacity ?? 0);
  if (difference !== 0) return difference;
  return a.id < b.id ? -1 : 1;
}
