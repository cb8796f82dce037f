/** Describes the rate limit of an endpoint in the log line of a request. */
export interface LimitRecord {
  /** Requests per second from all instances together. */
  perSecond: number;
  /** Time since the last response that stated the limit, in milliseconds. */
  ageMs: number;
  /** The instance that received this response. */
  from: string;
  /** The instance that issues the permits for requests to the endpoint. */
  coordinator: string;
}
