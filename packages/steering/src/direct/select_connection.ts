/** Time without progress after which a caller counts as one that does not read, in milliseconds. */
const STALL_MS = 1_000;

/** State of a connection that has requests in progress. */
export interface ConnectionLoad {
  /** Requests that await the end of their response, those included that have not been started. */
  requests: number;
  /** Bytes of responses that its caller has not read. */
  unreadBytes: number;
  /** Monotonic time at which a part of a response was last sent, in milliseconds. */
  progressAt: number;
}

/**
 * Selects the connection to close when there are too many requests or paused connections.
 * @param connections - The connections with requests that await their response.
 * @returns The one with most of them, or undefined if none has more than one.
 */
export function selectBusiest<T extends ConnectionLoad>(
  connections: Iterable<T>,
): T | undefined {
  return findMost(connections, each => (each.requests > 1 ? each.requests : 0));
}

/**
 * Selects the connection to close when responses that are not read hold too much memory: among
 * those without progress for a second, the one with most unread bytes.
 * @param connections - The connections with unread responses.
 * @param now - Monotonic time in milliseconds.
 * @param mayCloseActive - Whether one that makes progress may be closed where all do.
 * @returns The connection, or undefined if there is none.
 */
export function selectUnread<T extends ConnectionLoad>(
  connections: Iterable<T>,
  now: number,
  mayCloseActive: boolean,
): T | undefined {
  const unread = [...connections].filter(each => each.unreadBytes > 0);
  const stalled = unread.filter(each => now - each.progressAt >= STALL_MS);
  if (stalled.length === 0 && !mayCloseActive) return undefined;
  const candidates = stalled.length > 0 ? stalled : unread;
  return findMost(candidates, each => each.unreadBytes);
}

function findMost<T>(
  items: Iterable<T>,
  measure: (item: T) => number,
): T | undefined {
  let found: T | undefined;
  let most = 0;
  for (const item of items) {
    const value = measure(item);
    if (value > most) {
      found = item;
      most = value;
    }
  }
  return found;
}
