/**
 * Shortest time for which a connection that is closed waits for its caller to close it too, in
 * milliseconds.
 */
const MIN_LINGER_MS = 500;
/** Longest such time, however late the deadlines of the caller's requests are, in milliseconds. */
const MAX_LINGER_MS = 30_000;

/**
 * Returns how long a connection that is closed waits for its caller to close it too. After the
 * deadline of its requests the caller does not read their responses any more.
 * @param awaitedMs - Time until the latest of these deadlines, in milliseconds; negative if it has
 * passed.
 * @returns Milliseconds.
 */
export function getLingerMs(awaitedMs: number): number {
  return Math.min(MAX_LINGER_MS, Math.max(MIN_LINGER_MS, awaitedMs));
}
