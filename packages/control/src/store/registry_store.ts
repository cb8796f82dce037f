/** Holds one item of the registry, or its removal. */
export interface RegistryItem {
  key: string;
  /** The value, or undefined if the key was removed. */
  value?: Buffer;
  /** Revision of the change; increases across all keys and, with their number, across eras. */
  revision: number;
}

/** Holds items and the revision up to which they are complete. */
export interface RegistryItems {
  items: RegistryItem[];
  revision: number;
}

/** Says why a call to the registry failed. */
export enum RegistryFault {
  /** No response in time, or the connection broke; a write may have taken effect. */
  NoResponse = 'no-answer',
  /** The registry reports that the call had no effect. */
  Unavailable = 'unavailable',
  /** The rate limit of calls is exceeded. */
  RateLimited = 'limited',
  /**
   * The registry does not keep the revisions that a watch asks for, or has returned from an older
   * copy since the last listing.
   */
  HistoryLost = 'history-lost',
  /** The lease has ended. */
  LeaseEnded = 'lease-ended',
  /** The condition of a write does not hold. */
  Conflict = 'conflict',
  /** The response cannot be parsed or has an unexpected status. */
  Malformed = 'malformed',
}

/** Describes a write. */
export interface RegistryWrite {
  key: string;
  value: Buffer;
  /** Time after which the key is removed unless it is written again, in milliseconds. */
  ttlMs: number;
}

/** Reads, watches and writes the registry; all methods throw `RegistryError`. */
export interface RegistryStore {
  /**
   * Reads all items under a prefix.
   * @param prefix - Prefix of the keys.
   */
  list(prefix: string): Promise<RegistryItems>;

  /**
   * Waits for changes under a prefix.
   * @param prefix - Prefix of the keys.
   * @param after - Revision after which changes are returned.
   * @param signal - Ends the wait and closes its connection.
   * @returns The changes; empty if the wait timed out.
   */
  watch(
    prefix: string,
    after: number,
    signal: AbortSignal,
  ): Promise<RegistryItems>;

  /**
   * Reads the revision of the registry on a connection that no watch uses. Fails with
   * `HistoryLost` if the era is not that of the last listing.
   */
  readRevision(): Promise<number>;

  /**
   * Writes a key that expires.
   * @param write - Key, value and lifetime.
   */
  put(write: RegistryWrite): Promise<void>;
}
