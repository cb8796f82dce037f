import type {EventLogger, TimerService} from '@primrosestage/common';
import type {StopSchedule} from '@primrosestage/steering';
import type {ConnectionTracker} from '../../http/connection_tracker.js';

/** Fraction of the time for new connections for which to wait further while callers connect. */
const ACCEPT_WAIT_FRACTION = 0.3;

/** Time for which the last responses are written before the process exits, in milliseconds. */
const FLUSH_MS = 100;

/** Time without a request after which a caller's connection is closed, in milliseconds. */
export const QUIET_PERIOD_MS = 300;

/** Configures a planned stop. */
export interface PlannedStopOptions {
  tracker: ConnectionTracker;
  timers: TimerService;
  logger: EventLogger;
  schedule: StopSchedule;
  /** Returns the number of requests in progress, without responses that are still streamed. */
  getOpenRequests: () => number;
  /** Ends the requests that are still in progress. */
  endUnfinished: () => void;
  /** Announces to the other instances that this one no longer serves. */
  announce: () => void;
}

/**
 * Stops serving without interrupting a request: callers that hold a cached directory response are
 * served up to the time in the schedule, then connections close as their requests end.
 * @param options - The connections to drain and the schedule.
 */
export async function runPlannedStop(
  options: PlannedStopOptions,
): Promise<void> {
  const {tracker, timers, logger, schedule} = options;
  const startedAt = timers.now();
  logger.info('stop started', {
    openRequests: options.getOpenRequests(),
    connections: tracker.size,
    acceptMs: Math.round(schedule.acceptUntil - startedAt),
    endMs: Math.round(schedule.endAt - startedAt),
  });
  tracker.startDraining();
  options.announce();
  const acceptMs = Math.max(0, schedule.acceptUntil - startedAt);
  await timers.sleep(acceptMs);
  await tracker.stopAccepting(acceptMs * ACCEPT_WAIT_FRACTION);
  await tracker.closeWhenIdle(
    schedule.endAt - timers.now(),
    () => options.getOpenRequests() === 0,
  );
  if (tracker.size > 0) {
    options.endUnfinished();
    await timers.sleep(FLUSH_MS);
  }
  logger.info('stop done', {
    openRequests: options.getOpenRequests(),
    connections: tracker.size,
    ms: Math.round(timers.now() - startedAt),
  });
}
