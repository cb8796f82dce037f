/** Part of the requests in progress that is kept for connections that have none. */
const FIRST_REQUEST_PART = 1 / 8;

/** Requests in progress on the connections of callers, without those that were refused. */
export interface RequestLoad {
  /** On the connection of the request. */
  onConnection: number;
  /** On all connections. */
  total: number;
}

/**
 * Decides whether another request may be started. A connection may have as many requests in
 * progress as there is room for in total: the less room is left, the fewer a connection with many
 * may start, so that one without any is refused last. This is the dynamic threshold of Choudhury and
 * Hahne (1998) with a factor of one, and with a reserve for first requests.
 * @param load - Requests in progress.
 * @param maxRequests - Most requests in progress on all connections.
 * @returns Whether the request may be started.
 */
export function mayAdmitRequest(
  {onConnection, total}: RequestLoad,
  maxRequests: number,
): boolean {
  const usable = onConnection === 0 ? 1 : 1 - FIRST_REQUEST_PART;
  return onConnection < maxRequests * usable - total;
}
