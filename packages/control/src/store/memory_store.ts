import type {TimerService} from '@primrosestage/common';
import type {
  ListedInstance,
  Store,
  StoreEntry,
  WatchOptions,
  WatchResult,
} from './store.js';
import {StoreError, StoreFailure} from './store_error.js';

/** Maximum size of a value in bytes of JSON. */
const MAX_VALUE_BYTES = 1024 * 1024;

/** Configures an in-memory store. */
export interface MemoryStoreOptions {
  timers: TimerService;
  /** Gets the platform's list of instances; by default, the list is empty. */
  getInstances?: () => ListedInstance[];
}

interface StoredValue {
  /** The value as JSON, or undefined after deletion. */
  text: string | undefined;
  version: number;
}

interface Lease {
  holder: string;
  fence: number;
  expiresAt: number;
}

/** Implements the semantics of the platform's store in memory. */
export class MemoryStore implements Store {
  private readonly values = new Map<string, StoredValue>();
  private readonly leases = new Map<string, Lease>();
  private readonly watchers = new Set<() => void>();
  private version = 0;
  private lastFence = 0;

  constructor(private readonly options: MemoryStoreOptions) {}

  async get(key: string): Promise<StoreEntry | undefined> {
    const stored = this.values.get(key);
    if (stored?.text === undefined) return undefined;
    return toEntry(key, stored);
  }

  async put(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<number | undefined> {
    const text = JSON.stringify(value);
    if (Buffer.byteLength(text) > MAX_VALUE_BYTES) {
      throw new StoreError(
        {failure: StoreFailure.Refused, peer: 'memory'},
        `value of ${key} is larger than ${MAX_VALUE_BYTES} bytes`,
      );
    }
    return this.write(key, text, expectedVersion);
  }

  /**
   * Deletes a key if its version is the expected one.
   * @param key - Name of the key.
   * @param expectedVersion - Version last read.
   * @returns The version of the deletion, or undefined if the version differs.
   */
  async delete(
    key: string,
    expectedVersion: number,
  ): Promise<number | undefined> {
    return this.write(key, undefined, expectedVersion);
  }

  async watch(options: WatchOptions): Promise<WatchResult> {
    const {prefix, after, timeoutMs, signal} = options;
    const abort = new AbortController();
    const endWait = () => abort.abort();
    const deadline = this.options.timers.after(timeoutMs, endWait);
    signal?.addEventListener('abort', endWait, {once: true});
    try {
      for (;;) {
        const entries = this.getChanges(prefix, after);
        const isDone =
          entries.length > 0 || abort.signal.aborted || signal?.aborted;
        // A version above the store's own comes from a store whose data was lost; the
        // watch would not notice new writes.
        if (isDone || after > this.version) {
          return {entries, version: this.version};
        }
        await this.waitForWrite(abort.signal);
      }
    } finally {
      deadline[Symbol.dispose]();
      signal?.removeEventListener('abort', endWait);
    }
  }

  async acquireLease(
    name: string,
    holder: string,
    ttlMs: number,
  ): Promise<number | undefined> {
    const nowMs = this.options.timers.now();
    const lease = this.leases.get(name);
    const isHeld = lease !== undefined && lease.expiresAt > nowMs;
    if (isHeld && lease.holder !== holder) return undefined;
    const fence = isHeld ? lease.fence : ++this.lastFence;
    this.leases.set(name, {holder, fence, expiresAt: nowMs + ttlMs});
    return fence;
  }

  async listInstances(): Promise<ListedInstance[]> {
    return this.options.getInstances?.() ?? [];
  }

  private write(
    key: string,
    text: string | undefined,
    expectedVersion: number,
  ): number | undefined {
    const stored = this.values.get(key);
    const currentVersion = stored?.text === undefined ? 0 : stored.version;
    if (currentVersion !== expectedVersion) return undefined;
    this.version++;
    this.values.set(key, {text, version: this.version});
    for (const notify of [...this.watchers]) notify();
    return this.version;
  }

  private getChanges(prefix: string, after: number): StoreEntry[] {
    return [...this.values]
      .filter(([key, {version}]) => key.startsWith(prefix) && version > after)
      .map(([key, stored]) => toEntry(key, stored))
      .sort((a, b) => a.version - b.version);
  }

  private waitForWrite(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const notify = () => {
        this.watchers.delete(notify);
        signal.removeEventListener('abort', notify);
        resolve();
      };
      this.watchers.add(notify);
      signal.addEventListener('abort', notify, {once: true});
    });
  }
}

function toEntry(key: string, {text, version}: StoredValue): StoreEntry {
  return {
    key,
    value: text === undefined ? null : (JSON.parse(text) as unknown),
    version,
  };
}
