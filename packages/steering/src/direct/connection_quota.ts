/**
 * Instances that are assumed while their number is not known. A request needs a connection of its
 * own, so that an instance needs more than one to serve its callers.
 */
const ASSUMED_INSTANCES = 64;

/**
 * Returns how many connections one instance may have open to an endpoint, at least one. The
 * quotas of all instances stay within the endpoint's limit without coordination, unless there are
 * more instances than connections.
 * @param maxConnections - Connections that the endpoint accepts in total; 0 if unlimited.
 * @param instances - Upper bound of the number of live instances; Infinity if it is not known.
 */
export function getConnectionQuota(
  maxConnections: number,
  instances: number,
): number {
  if (maxConnections <= 0) return Infinity;
  const divisor = Number.isFinite(instances) ? instances : ASSUMED_INSTANCES;
  return Math.max(1, Math.floor(maxConnections / Math.max(1, divisor)));
}
