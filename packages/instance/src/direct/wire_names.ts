/** Names of the headers, in lower case, and of the cookie exchanged with callers and endpoints. */
export interface WireNames {
  requestId: string;
  /** Header with the remaining time until the caller's deadline, in milliseconds. */
  deadlineMs: string;
  /** Cookie with the key of a request's object. */
  objectCookie: string;
  /** Header by which an endpoint proves that it created the response. */
  stamp: string;
  /** Header with the id of the only endpoint that may run the request. */
  expectedEndpoint: string;
  /** Header with the endpoint's running requests, waiting requests and slots, comma-separated. */
  load: string;
  /**
   * Headers with the rate limit of the endpoint, of which the first that is present counts: requests
   * per second from all instances together, as a decimal number. The limit holds for as long as
   * responses carry it.
   */
  limit: readonly string[];
  /**
   * Headers with the value 1 by which an endpoint states that it leaves, of which any counts. It
   * gets no new request until another process of it has started.
   */
  leaving: readonly string[];
  /** Header that an endpoint sets if it has not run the request. */
  notRun: string;
  /** Header with the key of a caller's account; it is not sent to endpoints. */
  accountKey: string;
  /** Header with the name of the account, which instances set in requests to endpoints. */
  accountName: string;
}

/** Paths that an instance serves besides requests of callers. */
export interface ServicePaths {
  /** Path at which callers look up the instances to use. */
  directory: string;
  readiness: string;
}
