/** Whether requests of a route may be retried, and how their answers are forwarded. */
export enum RequestKind {
  /** May run more than once. */
  Safe = 'safe',
  /** Runs at most once. */
  Unsafe = 'unsafe',
  /** A large answer; may run more than once. */
  Download = 'download',
  /** A large request body; runs at most once. */
  Upload = 'upload',
}

/**
 * Returns whether requests of a kind may run more than once.
 * @param kind - Kind of the requests.
 */
export function isIdempotent(kind: RequestKind): boolean {
  return kind === RequestKind.Safe || kind === RequestKind.Download;
}
