import {
  getErrorMessage,
  type EventLogger,
  type TimerService,
} from '@primrosestage/common';

/** Time between two tries to use an address, in milliseconds. */
const RETRY_INTERVAL_MS = 100;
/** Minimum time between two log lines about the same address, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;
/**
 * Errors of an address that cannot be used yet: a process that is ending still has it, or the network
 * interface of a machine that has just returned is not up.
 */
const TEMPORARY_CODES: ReadonlySet<unknown> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
]);

/** Configures the tries. */
export interface RetryWhileTakenOptions {
  /** The address, `host:port`. */
  address: string;
  timers: TimerService;
  logger: EventLogger;
  /** Ends the tries. */
  signal: AbortSignal;
}

/**
 * Opens a socket at an address, again and again while the address cannot be used yet. An instance that
 * gave up at the first try would run on without ever serving.
 * @param open - Opens the socket; rejects if that fails.
 * @param options - The address, and how to wait.
 * @returns Whether the socket is open; not if the tries were ended.
 * @throws the error of `open` if the address can never be used.
 */
export async function retryWhileTaken(
  open: () => Promise<void>,
  {address, timers, logger, signal}: RetryWhileTakenOptions,
): Promise<boolean> {
  let loggedAt = -Infinity;
  while (!signal.aborted) {
    try {
      await open();
      return true;
    } catch (err) {
      if (!isTemporary(err)) throw err;
      if (timers.now() - loggedAt >= LOG_INTERVAL_MS) {
        loggedAt = timers.now();
        logger.warn('address cannot be used yet', {
          address,
          reason: getErrorMessage(err),
        });
      }
      await timers.sleep(RETRY_INTERVAL_MS, signal);
    }
  }
  return false;
}

function isTemporary(err: unknown): boolean {
  const {code, cause} = err as {code?: unknown; cause?: unknown};
  const inner =
    typeof cause === 'function' ? (cause.call(err) as unknown) : cause;
  return (
    TEMPORARY_CODES.has(code) ||
    TEMPORARY_CODES.has((inner as {code?: unknown} | undefined)?.code)
  );
}
