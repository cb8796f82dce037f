/** Says what may be repeated of a request and how its answer is passed on. */
export enum RequestKind {
  /** May run more than once. */
  Safe = 'safe',
  /** Runs at most once. */
  Unsafe = 'unsafe',
  /** A large answer; may run more than once. */
  Download = 'download',
}

/**
 * Says whether requests of a kind may run more than once.
 * @param kind - The kind.
 */
export function isIdempotent(kind: RequestKind): boolean {
  return kind !== RequestKind.Unsafe;
}
