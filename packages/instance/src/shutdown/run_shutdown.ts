import {
  getErrorMessage,
  Invariant,
  type InvariantMonitor,
  type Logger,
  Step,
  type TimerService,
} from '@primrosestage/common';
import type {ShutdownSteps} from './shutdown_steps.js';

/** Time left for closing connections when requests do not end in time. */
const CLOSE_TIMEOUT_MS = 4_500;
/** Longest time for a step that waits for answers of peers, in milliseconds. */
const PEER_STEP_TIMEOUT_MS = 2_000;

/** Configures a graceful shutdown. */
export interface RunShutdownOptions {
  steps: ShutdownSteps;
  /** Id of this instance, for log lines. */
  selfId: string;
  timers: TimerService;
  logger: Logger;
  monitor: InvariantMonitor;
  /** Time to serve callers that hold cached lookup answers, in milliseconds. */
  drainNoticeMs: number;
  /** Longest time of the whole shutdown in milliseconds. */
  shutdownTimeoutMs: number;
  /** Counts the requests that are not answered to the end. */
  getOpenRequests(): number;
}

/**
 * Stops an instance without cutting a request. A step that fails or takes too long is logged
 * and does not prevent the next ones.
 * @param options - Steps, clock and bounds.
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
      if (hasTimedOut) logger.warn('shutdown step took too long', fields);
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
  monitor.check(Invariant.PlannedStopCutsNothing, openRequests === 0, {
    openRequests,
  });
  await runWithTimeout('closeConnections', CLOSE_TIMEOUT_MS, () =>
    steps.closeConnections(),
  );
}
