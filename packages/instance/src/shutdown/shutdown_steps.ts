/** Lists what an instance does to stop without cutting a request, in this order. */
export interface ShutdownSteps {
  /** Sets readiness to false. */
  markNotReady(): void;
  /** Removes this instance from lookup answers. */
  drainCallerConnections(): void;
  /** Tells peers that this instance is leaving. */
  announceLeaving(): Promise<void>;
  /** Releases the owned endpoints with their in-flight counts. */
  releaseOwnership(): Promise<void>;
  /** Hands over the records of idempotency keys after the last request under a key. */
  handOverKeys(): Promise<void>;
  /** Waits for the end of every request. */
  finishRequests(): Promise<void>;
  /** Closes listeners and idle connections. */
  closeConnections(): Promise<void>;
}
