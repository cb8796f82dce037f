import type {EventLogger, TimerService} from '@primrosestage/common';
import {
  type EndpointNotices,
  type EndpointProcess,
  type EndpointTable,
  NoticeChange,
} from '@primrosestage/steering';
import type {DirectMetrics} from '../direct_metrics.js';

/** Seconds, whole or with a fraction, as endpoints state how long they wait. */
const DECIMAL_SECONDS = /^\d{1,9}(?:\.\d{1,9})?$/;
/** Longest invalid value that a log line contains, in characters. */
const MAX_LOGGED_VALUE = 40;

/** Dependencies of tracking notices. */
export interface NoticeTrackerOptions {
  notices: EndpointNotices;
  timers: TimerService;
  logger: EventLogger;
  metrics: DirectMetrics;
}

/** What a response of an endpoint states of its further use. */
export interface NoticeStatement {
  /** Whether the endpoint leaves. */
  isLeaving?: boolean;
  /** Value of the `retry-after` header; undefined without one. */
  retryAfter?: string;
}

/** Reads what endpoints state of themselves in their responses, and logs changes. */
export class NoticeTracker {
  constructor(private readonly options: NoticeTrackerOptions) {}

  /**
   * Records what a response stated. An invalid time changes nothing.
   * @param process - The process of the endpoint that the request was sent to.
   * @param statement - What the response stated.
   */
  observeResponse(
    process: EndpointProcess,
    {isLeaving, retryAfter}: NoticeStatement,
  ): void {
    if (isLeaving !== true && retryAfter === undefined) return;
    const {notices, timers, logger} = this.options;
    const waitMs =
      retryAfter === undefined ? undefined : this.readWait(process, retryAfter);
    const notice = {isLeaving: isLeaving === true, waitMs};
    for (const change of notices.observe(process, notice, timers.now())) {
      logger.info('endpoint notice', {
        endpoint: process.id,
        notice: change,
        waitMs: change === NoticeChange.Waiting ? waitMs : undefined,
      });
    }
    this.updateMetrics();
  }

  /**
   * Forgets notices that are over.
   * @param table - The known endpoints.
   */
  prune(table: EndpointTable): void {
    this.options.notices.prune(
      this.options.timers.now(),
      ({id, bornAt}) => table.get(id)?.entry.bornAt === bornAt,
    );
    this.updateMetrics();
  }

  private readWait(process: EndpointProcess, text: string): number | undefined {
    if (DECIMAL_SECONDS.test(text.trim())) return Number(text) * 1_000;
    this.options.logger.warn('endpoint notice ignored', {
      endpoint: process.id,
      retryAfter: text.slice(0, MAX_LOGGED_VALUE),
    });
    return undefined;
  }

  private updateMetrics(): void {
    const {notices, timers, metrics} = this.options;
    const counts = notices.count(timers.now());
    for (const [notice, count] of Object.entries(counts)) {
      metrics.endpointNotices.set({notice}, count);
    }
  }
}
