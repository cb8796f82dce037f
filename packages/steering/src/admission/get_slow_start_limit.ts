/**
 * Gets the limit of an endpoint during slow start; cold caches and lazy initialization make
 * the first requests after a restart expensive.
 * @param limit - The endpoint's full limit.
 * @param startedAt - Start of slow start in monotonic milliseconds; undefined for a warm endpoint.
 * @param now - Monotonic time in milliseconds.
 * @param slowStartMs - Duration of slow start in milliseconds.
 * @returns The limit, which grows linearly from 1 to the full limit.
 */
export function getSlowStartLimit(
  limit: number,
  startedAt: number | undefined,
  now: number,
  slowStartMs: number,
): number {
  if (startedAt === undefined || now - startedAt >= slowStartMs) return limit;
  const fraction = Math.max(0, now - startedAt) / slowStartMs;
  return Math.min(limit, Math.floor(1 + (limit - 1) * fraction));
}
