import {
  getErrorMessage,
  Invariant,
  type InvariantMonitor,
  type Logger,
  Step,
  type TimerService,
} from '@primrosestage/common';
import type {ShutdownSteps} from './shutdown_steps.js';

/** Time reserved for closing connections if requests do not complete in time, in milliseconds. */
const CLOSE_TIMEOUT_MS = 4_500;
/** Timeout of a step that waits for responses of peers, in milliseconds. */
const PEER_STEP_TIMEOUT_MS = 2_000;

/** Configures a graceful shutdown. */
export interface RunShutdownOptions {
  steps: ShutdownSteps;
  /** Id of this instance, for log lines. */
  selfId: string;
  timers: TimerService;
  logger: Logger;
  monitor: InvariantMonitor;
  /** Time to serve callers that hold cached lookup responses, in milliseconds. */
  drainNoticeMs: number;
  /** Timeout of the whole shutdown in milliseconds. */
  shutdownTimeoutMs: number;
  /** Gets the number of requests whose response is not complete. */
  getOpenRequests(): number;
}

/**
 * Shuts an instance down without interrupting requests. A step that fails or times out is logged,
 * and the next ones still run.
 * @param options - Steps, clock and timeouts.
 */
export async function runShutdown(options: RunShutdownOptions): Promise<void> {
  const {steps, timers, logger, monitor, selfId} = options;
  const startedAt = timers.now();
  const runWithTimeout = async (
    name: string,
    timeoutMs: number,
    run: () => void | Promise<void>,
  ) => {
    const abort = new AbortController();
    const timedOut = timers
      .sleep(Math.max(0, timeoutMs), abort.signal)
      .then(() => !abort.signal.aborted);
    const fields = {step: Step.Shutdown, peer: selfId, name};
    try {
      const hasTimedOut = await Promise.race([
        timedOut,
        Promise.resolve(run()).then(() => false),
      ]);
      if (hasTimedOut) logger.warn('shutdown step timed out', fields);
      else logger.info('shutdown step done', fields);
    } catch (err) {
      const message = getErrorMessage(err);
      logger.error('shutdown step failed', {...fields, message});
    } finally {
      abort.abort();
    }
  };
  const getRemainingMs = () =>
    startedAt + options.shutdownTimeoutMs - CLOSE_TIMEOUT_MS - timers.now();

  steps.markNotReady();
  steps.drainCallerConnections();
  await runWithTimeout('announceLeaving', PEER_STEP_TIMEOUT_MS, () =>
    steps.announceLeaving(),
  );
  await timers.sleep(
    Math.max(0, startedAt + options.drainNoticeMs - timers.now()),
  );
  await runWithTimeout('releaseOwnership', PEER_STEP_TIMEOUT_MS, () =>
    steps.releaseOwnership(),
  );
  await runWithTimeout('handOverKeys', getRemainingMs(), () =>
    steps.handOverKeys(),
  );
  await runWithTimeout('finishRequests', getRemainingMs(), () =>
    steps.finishRequests(),
  );
  const openRequests = options.getOpenRequests();
  monitor.check(Invariant.ShutdownCompletesRequests, openRequests === 0, {
    openRequests,
  });
  await runWithTimeout('closeConnections', CLOSE_TIMEOUT_MS, () =>
    steps.closeConnections(),
  );
}
