/**
 * Returns how many connections one instance may have open to an endpoint. All instances together
 * stay within what the endpoint accepts, without any exchange between them.
 * @param maxConnections - Connections of all callers that the endpoint accepts; 0 where unbounded.
 * @param instances - Most instances that may be alive.
 */
export function getConnectionPart(
  maxConnections: number,
  instances: number,
): number {
  if (maxConnections <= 0) return Infinity;
  return Math.max(1, Math.floor(maxConnections / Math.max(1, instances)));
}
