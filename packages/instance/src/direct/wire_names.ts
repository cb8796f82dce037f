/** Names the headers towards callers and endpoints; lower case. */
export interface WireNames {
  requestId: string;
  /** Time that the caller still waits, in milliseconds. */
  deadlineMs: string;
  /** Cookie whose value names the object of a request. */
  objectCookie: string;
  /** Proof of an endpoint that it made the answer. */
  stamp: string;
  /** Id of the endpoint that alone may run the request. */
  expectedEndpoint: string;
  /** Running and waiting requests and slots, separated by commas. */
  load: string;
  /** Set by an endpoint that has not run the request. */
  notRun: string;
}

/** Names the paths that an instance serves besides requests. */
export interface ServicePaths {
  /** Where callers ask which instances to use. */
  directory: string;
  readiness: string;
}
