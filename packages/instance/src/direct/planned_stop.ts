import type {EventLogger, TimerService} from '@primrosestage/common';
import type {ConnectionTracker} from '../http/connection_tracker.js';

/** Part of the time of a stop after which no new connections are accepted. */
const ACCEPT_FRACTION = 0.5;
/** Time kept for the end of the process, in milliseconds. */
const EXIT_RESERVE_MS = 500;
/** Part of the time of a stop for which callers that do not stop connecting are waited for. */
const ACCEPT_WAIT_FRACTION = 0.15;

/** Time without a request after which a caller's connection is closed, in milliseconds. */
export const QUIET_PERIOD_MS = 300;

/** Configures a planned stop. */
export interface PlannedStopOptions {
  tracker: ConnectionTracker;
  timers: TimerService;
  logger: EventLogger;
  stopTimeoutMs: number;
  /** Counts the requests that are not answered to the end. */
  getOpenRequests: () => number;
  /** Tells the others that this instance no longer serves. */
  announce: () => void;
}

/**
 * Stops serving without cutting a request: callers that hold an old answer of the directory are
 * served for half of the time, then connections close as their requests end.
 * @param options - What is stopped and how long it may take.
 */
export async function runPlannedStop(
  options: PlannedStopOptions,
): Promise<void> {
  const {tracker, timers, logger, stopTimeoutMs} = options;
  const startedAt = timers.now();
  logger.info('stop started', {
    openRequests: options.getOpenRequests(),
    connections: tracker.size,
    stopTimeoutMs,
  });
  tracker.startStopping();
  options.announce();
  await timers.sleep(
    Math.max(0, startedAt + stopTimeoutMs * ACCEPT_FRACTION - timers.now()),
  );
  await tracker.stopAccepting(stopTimeoutMs * ACCEPT_WAIT_FRACTION);
  const endAt = startedAt + stopTimeoutMs - EXIT_RESERVE_MS;
  await tracker.closeQuietly(
    endAt - timers.now(),
    () => options.getOpenRequests() === 0,
  );
  logger.info('stop done', {
    openRequests: options.getOpenRequests(),
    connections: tracker.size,
    ms: Math.round(timers.now() - startedAt),
  });
}
