/** Holds one key of the store. */
export interface StoreEntry {
  key: string;
  /** The value, or null if the key was deleted. */
  value: unknown;
  /** Version of the write that set the value; versions are global to the store. */
  version: number;
}

/** Holds what a watch returned. */
export interface WatchResult {
  /** Entries that changed, oldest first; empty after a timeout. */
  entries: StoreEntry[];
  /** Version of the store, to be passed as `after` to the next watch. */
  version: number;
}

/** Describes a watch on a prefix. */
export interface WatchOptions {
  prefix: string;
  /** Version after which changes are returned; 0 returns all keys. */
  after: number;
  /** Time after which the store returns without a change, in milliseconds. */
  timeoutMs: number;
  /** Ends the watch and closes its connection. */
  signal?: AbortSignal;
}

/** Says whether the platform keeps an instance running or is shutting it down. */
export enum InstanceState {
  Live = 'live',
  Leaving = 'leaving',
}

/** Describes an instance in the platform's list, which may lag; addresses are `host:port`. */
export interface ListedInstance {
  id: string;
  zone: string;
  region: string;
  internal: string;
  public: string;
  state: InstanceState;
}

/** Reads and writes the platform's store; all methods throw `StoreError`. */
export interface Store {
  /**
   * Reads a key.
   * @param key - Name of the key.
   * @returns The entry, or undefined if the key does not exist.
   */
  get(key: string): Promise<StoreEntry | undefined>;

  /**
   * Writes a key if its version is the expected one.
   * @param key - Name of the key.
   * @param value - The new value, up to a megabyte of JSON.
   * @param expectedVersion - Version last read; 0 creates the key.
   * @returns The new version, or undefined if the version differs.
   */
  put(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<number | undefined>;

  /**
   * Waits for changes under a prefix.
   * @param options - Prefix, version and timeout.
   * @returns The changes and the store's version.
   */
  watch(options: WatchOptions): Promise<WatchResult>;

  /**
   * Acquires or renews a lease.
   * @param name - Name of the lease.
   * @param holder - Identifier of the holder.
   * @param ttlMs - Time after which it expires, in milliseconds.
   * @returns The fencing token, which increases with each new holder, or undefined if another holder
   * has the lease.
   */
  acquireLease(
    name: string,
    holder: string,
    ttlMs: number,
  ): Promise<number | undefined>;

  /** Reads the platform's list of instances, which may lag. */
  listInstances(): Promise<ListedInstance[]>;
}
