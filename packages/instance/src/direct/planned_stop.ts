import type {EventLogger, TimerService} from '@primrosestage/common';
import type {ConnectionTracker} from '../http/connection_tracker.js';

/** Fraction of the stop timeout after which no new connections are accepted. */
const ACCEPT_FRACTION = 0.5;
/** Time reserved for the exit of the process, in milliseconds. */
const EXIT_RESERVE_MS = 500;
/** Fraction of the stop timeout for which to wait for callers that keep connecting. */
const ACCEPT_WAIT_FRACTION = 0.15;

/** Time without a request after which a caller's connection is closed, in milliseconds. */
export const QUIET_PERIOD_MS = 300;

/** Configures a planned stop. */
export interface PlannedStopOptions {
  tracker: ConnectionTracker;
  timers: TimerService;
  logger: EventLogger;
  stopTimeoutMs: number;
  /** Returns the number of requests in progress, without responses that are still streamed. */
  getOpenRequests: () => number;
  /** Announces to the other instances that this one no longer serves. */
  announce: () => void;
}

/**
 * Stops serving without interrupting a request: callers that hold a cached directory response are
 * served for half of the stop timeout, then connections close as their requests end.
 * @param options - The connections to drain and the stop timeout.
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
  tracker.startDraining();
  options.announce();
  await timers.sleep(
    Math.max(0, startedAt + stopTimeoutMs * ACCEPT_FRACTION - timers.now()),
  );
  await tracker.stopAccepting(stopTimeoutMs * ACCEPT_WAIT_FRACTION);
  const endAt = startedAt + stopTimeoutMs - EXIT_RESERVE_MS;
  await tracker.closeWhenIdle(
    endAt - timers.now(),
    () => options.getOpenRequests() === 0,
  );
  logger.info('stop done', {
    openRequests: options.getOpenRequests(),
    connections: tracker.size,
    ms: Math.round(timers.now() - startedAt),
  });
}
