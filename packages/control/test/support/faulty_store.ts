import type {TimerService} from '@primrosestage/common';
import {
  type ListedInstance,
  type MemoryStore,
  type Store,
  type StoreEntry,
  StoreError,
  StoreFailure,
  type WatchOptions,
  type WatchResult,
} from '@primrosestage/control';

/** Names a fault injected into a call. */
export enum Fault {
  None,
  /** The write takes effect, but the caller gets no reply. */
  LostReply,
  /** The caller gets no reply; the write takes effect 1.5 s later. */
  DelayedWrite,
  /** Like `DelayedWrite`, but 4 s later, after the committer has fenced the write. */
  LongDelayedWrite,
  /** Neither write nor reply arrives. */
  Dropped,
  /** No connection is made. */
  NotSent,
}

const DELAYS_MS: Partial<Record<Fault, number>> = {
  [Fault.DelayedWrite]: 1_500,
  [Fault.LongDelayedWrite]: 4_000,
};

export interface FaultyStoreOptions {
  timers: TimerService;
  inner: MemoryStore;
  /** Chooses the fault of the next call. */
  decide: () => Fault;
  /** One-way latency in milliseconds. */
  latencyMs?: number;
}

/** Wraps a store, injects latency and faults into its calls, and counts them. */
export class FaultyStore implements Store {
  readonly calls = {get: 0, put: 0, watch: 0};
  isDown = false;
  /** Calls made while this is set never settle. */
  isSilent = false;
  /** Watches opened while this is set never return. */
  areWatchesSilent = false;

  constructor(private readonly options: FaultyStoreOptions) {}

  get(key: string): Promise<StoreEntry | undefined> {
    this.calls.get++;
    return this.call(() => this.options.inner.get(key));
  }

  put(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<number | undefined> {
    this.calls.put++;
    return this.call(() => this.options.inner.put(key, value, expectedVersion));
  }

  async watch(options: WatchOptions): Promise<WatchResult> {
    this.calls.watch++;
    if (this.isSilent) await new Promise(() => {});
    if (this.isDown) throw this.fail(StoreFailure.NotSent);
    if (this.areWatchesSilent) {
      await new Promise(resolve =>
        options.signal?.addEventListener('abort', resolve),
      );
      throw this.fail(StoreFailure.ReplyLost);
    }
    const result = await this.options.inner.watch(options);
    await this.options.timers.sleep(this.latencyMs);
    if (this.isDown) throw this.fail(StoreFailure.ReplyLost);
    return result;
  }

  acquireLease(
    name: string,
    holder: string,
    ttlMs: number,
  ): Promise<number | undefined> {
    return this.call(() =>
      this.options.inner.acquireLease(name, holder, ttlMs),
    );
  }

  listInstances(): Promise<ListedInstance[]> {
    return this.call(() => this.options.inner.listInstances());
  }

  private get latencyMs(): number {
    return this.options.latencyMs ?? 5;
  }

  private async call<T>(run: () => Promise<T>): Promise<T> {
    const {timers, decide} = this.options;
    if (this.isSilent) await new Promise(() => {});
    await timers.sleep(this.latencyMs);
    const fault = this.isDown ? Fault.NotSent : decide();
    if (fault === Fault.NotSent) throw this.fail(StoreFailure.NotSent);
    const delayMs = DELAYS_MS[fault];
    if (delayMs !== undefined) {
      timers.after(delayMs, () => void run().catch(() => {}));
    }
    const result = fault <= Fault.LostReply ? await run() : undefined;
    if (fault !== Fault.None) {
      await timers.sleep(500);
      throw this.fail(StoreFailure.ReplyLost);
    }
    await timers.sleep(this.latencyMs);
    return result as T;
  }

  private fail(failure: StoreFailure): StoreError {
    return new StoreError({failure, peer: 'faulty'}, `store call: ${failure}`);
  }
}
