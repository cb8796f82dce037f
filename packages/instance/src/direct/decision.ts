/** Names who decided the final status of a request, besides the endpoint. */
export enum Decision {
  Endpoint = 'endpoint',
  NoConfiguration = 'no-configuration',
  NoRoute = 'no-route',
  BadRequest = 'bad-request',
  TooLarge = 'too-large',
  NoEndpoint = 'no-endpoint',
  NoCapacity = 'no-room',
  Refused = 'refused-by-endpoints',
  ConnectionBroken = 'connection-broken',
  TimedOut = 'timeout',
  CallerDisconnected = 'caller-left',
}

/**
 * Returns the status of a request that no endpoint answered. Only 503 promises that it has not
 * run and never will.
 * @param decision - Why there is no answer.
 * @param mayHaveRun - Whether an endpoint may have run the request.
 */
export function getFailureStatus(
  decision: Decision,
  mayHaveRun: boolean,
): number {
  if (!mayHaveRun) return 503;
  return decision === Decision.TimedOut ? 504 : 502;
}
