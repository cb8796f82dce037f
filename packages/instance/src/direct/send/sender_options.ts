import type {StopSchedule} from '@primrosestage/steering';
import type {DirectMetrics} from '../direct_metrics.js';
import type {NoticeTracker} from '../place/notice_tracker.js';
import type {RetryBudgets} from './retry_budgets.js';
import type {AttemptStartOptions} from './start_attempt.js';

/** Receives unexpected errors. */
export interface ErrorLog {
  /**
   * Logs an unexpected error.
   * @param id - Id of the request.
   * @param err - The error.
   */
  writeError(id: string, err: unknown): void;
}

/** Dependencies of sending a request to endpoints. */
export interface SenderOptions extends AttemptStartOptions {
  noticeTracker: NoticeTracker;
  retryBudgets: RetryBudgets;
  metrics: DirectMetrics;
  log: ErrorLog;
  /** Returns the times of the planned stop; undefined unless the instance is stopping. */
  getStopSchedule: () => StopSchedule | undefined;
}
