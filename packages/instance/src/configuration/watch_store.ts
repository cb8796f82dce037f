import {
  getErrorMessage,
  type Logger,
  type TimerService,
} from '@primrosestage/common';
import {
  type Store,
  type StoreEntry,
  TEAM_KEY_PREFIX,
} from '@primrosestage/control';

/** Timeout of a watch (design 4.6). */
const WATCH_TIMEOUT_MS = 2_000;
/** Time past its timeout after which a watch without a response is reopened. */
const WATCH_GRACE_MS = 1_000;
/** Interval at which an instance without a watch checks whether it is a watcher. */
const WATCHER_CHECK_INTERVAL_MS = 500;
const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 2_000;

/** Configures the store watch of an instance. */
export interface WatchStoreOptions {
  store: Store;
  timers: TimerService;
  logger: Logger;
  /** Returns whether this instance is currently a watcher of its zone. */
  isWatcher: () => boolean;
  /** Handles a changed document. */
  handleEntry: (entry: StoreEntry) => void;
  /** Stops watching. */
  signal: AbortSignal;
}

/**
 * Watches the team documents in the store while this instance is a watcher of its zone.
 * @param options - Store, watcher check and handler.
 */
export async function watchStore(options: WatchStoreOptions): Promise<void> {
  const {timers, logger, signal} = options;
  let after = 0;
  let backoffMs = INITIAL_BACKOFF_MS;
  while (!signal.aborted) {
    if (!options.isWatcher()) {
      await timers.sleep(WATCHER_CHECK_INTERVAL_MS, signal);
      continue;
    }
    try {
      const {entries, version} = await watchOnce(options, after);
      for (const entry of entries) options.handleEntry(entry);
      // A lower version means that the store lost its data; the watch restarts from the beginning.
      after = version < after ? 0 : version;
      backoffMs = INITIAL_BACKOFF_MS;
    } catch (err) {
      if (signal.aborted) return;
      logger.warn('watch failed', {message: getErrorMessage(err), backoffMs});
      await timers.sleep(backoffMs, signal);
      backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }
  }
}

async function watchOnce(options: WatchStoreOptions, after: number) {
  const abort = new AbortController();
  const abortWatch = () => abort.abort();
  const deadline = options.timers.after(
    WATCH_TIMEOUT_MS + WATCH_GRACE_MS,
    abortWatch,
  );
  options.signal.addEventListener('abort', abortWatch, {once: true});
  try {
    return await options.store.watch({
      prefix: TEAM_KEY_PREFIX,
      after,
      timeoutMs: WATCH_TIMEOUT_MS,
      signal: abort.signal,
    });
  } finally {
    deadline[Symbol.dispose]();
    options.signal.removeEventListener('abort', abortWatch);
  }
}
