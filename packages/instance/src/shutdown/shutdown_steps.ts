/** Steps of a shutdown that does not interrupt requests, in this order. */
export interface ShutdownSteps {
  /**
   * Sets readiness to false and marks this instance as leaving, so that its lookup responses omit
   * it unless there are no other instances.
   */
  markNotReady(): void;
  /** Asks callers in every further response to close their connection. */
  drainCallerConnections(): void;
  /** Announces to peers that this instance is leaving. */
  announceLeaving(): Promise<void>;
  /** Releases the owned endpoints and reports their in-flight counts. */
  releaseOwnership(): Promise<void>;
  /** Hands over the idempotency records after the last request with an idempotency key. */
  handOverKeys(): Promise<void>;
  /** Waits until every request is complete. */
  finishRequests(): Promise<void>;
  /** Closes listeners and idle connections. */
  closeConnections(): Promise<void>;
}
