import {
  RegistryError,
  RegistryFault,
  type RegistryItem,
  type RegistryItems,
  type RegistryStore,
  type RegistryWrite,
} from '@primrosestage/control';

/** Time after which a read without a response fails, in milliseconds. */
const SILENT_READ_MS = 200;

/** Holds items in memory and injects faults into the calls of its readers. */
export class MemoryRegistry implements RegistryStore {
  /** Fault with which calls fail at once. */
  fault?: RegistryFault;
  /** Whether calls get no response: watches stay pending, and reads fail after a while. */
  isSilent = false;
  /** Whether watches never return changes. */
  isStalled = false;
  /** Number of watches that were started. */
  watchCount = 0;
  private revision = 1;
  /** Number of times at which the pending watches were cut. */
  private cutCount = 0;
  private readonly items = new Map<string, RegistryItem>();
  private history: RegistryItem[] = [];
  private waiters = new Set<() => void>();

  /** Writes a key, or removes it if there is no value. */
  set(key: string, value?: object | string): void {
    this.revision++;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const item: RegistryItem = {
      key,
      revision: this.revision,
      value: value === undefined ? undefined : Buffer.from(text),
    };
    if (item.value) this.items.set(key, item);
    else this.items.delete(key);
    this.history.push(item);
    for (const wake of this.waiters) wake();
  }

  /** Says whether a key has a value. */
  has(key: string): boolean {
    return this.items.has(key);
  }

  /** Makes the pending watches fail, while all other calls work. */
  cutWatches(): void {
    this.cutCount++;
    this.wakeWatches();
  }

  /** Makes the pending watches never return, while new ones work. */
  stallPendingWatches(): void {
    this.waiters.clear();
  }

  /** Drops the history, so that watches fail and readers have to list again. */
  compact(): void {
    this.history = [];
    for (const wake of this.waiters) wake();
  }

  async list(prefix: string): Promise<RegistryItems> {
    await this.failIfSilent();
    this.throwInjectedFault();
    const items = [...this.items.values()];
    return {
      items: items.filter(({key}) => key.startsWith(prefix)),
      revision: this.revision,
    };
  }

  async watch(
    prefix: string,
    after: number,
    signal: AbortSignal,
  ): Promise<RegistryItems> {
    this.watchCount++;
    const {cutCount} = this;
    for (;;) {
      if (this.cutCount > cutCount) throw createError(RegistryFault.NoResponse);
      while (this.isSilent && !signal.aborted) await this.waitForChange(signal);
      this.throwInjectedFault();
      if (signal.aborted) throw createError(RegistryFault.NoResponse);
      if (after < this.revision && !this.isStalled) {
        const oldest = this.history[0]?.revision ?? Infinity;
        if (oldest > after + 1) throw createError(RegistryFault.HistoryLost);
        const items = this.history.filter(
          ({key, revision}) => revision > after && key.startsWith(prefix),
        );
        return {items, revision: this.revision};
      }
      await this.waitForChange(signal);
    }
  }

  async readRevision(): Promise<number> {
    await this.failIfSilent();
    this.throwInjectedFault();
    return this.revision;
  }

  async put({key, value}: RegistryWrite): Promise<void> {
    this.throwInjectedFault();
    this.set(key, value.toString());
  }

  /** Makes all pending watches check for faults and changes again. */
  wakeWatches(): void {
    for (const wake of this.waiters) wake();
  }

  private async failIfSilent(): Promise<void> {
    if (!this.isSilent) return;
    await new Promise(resolve => setTimeout(resolve, SILENT_READ_MS));
    throw createError(RegistryFault.NoResponse);
  }

  private throwInjectedFault(): void {
    if (this.fault) throw createError(this.fault);
  }

  private waitForChange(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        this.waiters.delete(wake);
        resolve();
      };
      this.waiters.add(wake);
      signal.addEventListener('abort', wake, {once: true});
    });
  }
}

function createError(fault: RegistryFault): RegistryError {
  return new RegistryError(fault, 'memory', `registry: ${fault}`);
}
