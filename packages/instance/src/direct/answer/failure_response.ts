import type {ServerResponse} from 'node:http';

/** Describes a response without a body that this instance sends in place of an endpoint's one. */
export interface FailureResponse {
  status: number;
  /** Header that carries the request id, and the id; undefined if the request has none. */
  requestId?: {name: string; value: string};
  /** Value of `retry-after` in milliseconds. */
  retryAfterMs?: number;
  /** Whether the connection cannot carry a further request. */
  closesConnection: boolean;
}

/**
 * Writes a failure response.
 * @param res - The response to the caller.
 * @param failure - What to write.
 * @throws TypeError if a header cannot be written.
 */
export function writeFailure(
  res: ServerResponse,
  failure: FailureResponse,
): void {
  const {status, requestId, retryAfterMs, closesConnection} = failure;
  const headers: Record<string, string> = {'content-length': '0'};
  if (requestId) headers[requestId.name] = requestId.value;
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = (retryAfterMs / 1_000).toFixed(3);
  }
  if (closesConnection) {
    headers['connection'] = 'close';
    res.shouldKeepAlive = false;
  }
  res.writeHead(status, headers).end();
}

/**
 * Discards what was prepared of a response that could not be written, so that a failure response
 * carries no headers of an endpoint.
 * @param res - The response to the caller, whose head has not been sent.
 * @param closesConnection - Whether the connection carries no further response.
 */
export function discardHeaders(
  res: ServerResponse,
  closesConnection: boolean,
): void {
  for (const name of res.getHeaderNames()) res.removeHeader(name);
  res.shouldKeepAlive = !closesConnection;
}
