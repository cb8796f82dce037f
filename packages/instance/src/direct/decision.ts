/** What decided the final status of a request: the endpoint, or a reason of this instance. */
export enum Decision {
  Endpoint = 'endpoint',
  NoConfiguration = 'no-configuration',
  NoRoute = 'no-route',
  BadRequest = 'bad-request',
  /** The request has no key of an account, or one that the configuration does not hold. */
  UnknownAccount = 'unknown-account',
  /** The request exceeds the quota of its account. */
  QuotaExceeded = 'quota-exceeded',
  TooLarge = 'too-large',
  /** The request's body does not fit into the memory for bodies beside those of other requests. */
  NoBodyMemory = 'no-body-memory',
  /** Too many requests are in progress on all connections. */
  TooManyRequests = 'too-many-requests',
  NoEndpoint = 'no-endpoint',
  NoCapacity = 'no-room',
  Refused = 'refused-by-endpoints',
  ConnectionBroken = 'connection-broken',
  /** The length of the response is not known, and its caller of HTTP/1.0 takes no chunks. */
  LengthUnknown = 'length-unknown',
  TimedOut = 'timeout',
  /** The request might not have been finished before the end of a planned stop. */
  Stopping = 'stopping',
  CallerDisconnected = 'caller-left',
  /** An unexpected error of this instance. */
  InternalError = 'internal-error',
}

/**
 * Returns the status of a request without a response of an endpoint. Only 503, and 429 for a request
 * beyond its account's quota, guarantee that the request has not run and will not run.
 * @param decision - Why there is no response.
 * @param mayHaveRun - Whether an endpoint may have run the request.
 */
export function getFailureStatus(
  decision: Decision,
  mayHaveRun: boolean,
): number {
  if (decision === Decision.QuotaExceeded) return 429;
  if (!mayHaveRun) return 503;
  return decision === Decision.TimedOut ? 504 : 502;
}
