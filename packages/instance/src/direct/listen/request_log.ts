import {getErrorMessage, type EventLogger} from '@primrosestage/common';
import type {AttemptRecord} from '../send/attempt_record.js';

/** Most log lines per second about successful single-attempt requests; others are not limited. */
const MAX_ROUTINE_LINES_PER_S = 100;

/** Fields of the log line of a finished request. */
export interface RequestRecord {
  id: string;
  route?: string;
  service?: string;
  configuration?: number;
  /** Name of the account to which the request belongs. */
  account?: string;
  object?: string;
  status: number;
  /** `endpoint` if the status is the endpoint's, or the reason for which this instance set it. */
  decidedBy: string;
  remainingMs?: number;
  retryAfterMs?: number;
  ms: number;
  attempts: AttemptRecord[];
  /** Ids of the endpoints that were not chosen last because of their rate limits. */
  limited?: string[];
}

/** Writes one log line per request; lines of routine requests are rate limited. */
export class RequestLog {
  private currentSecond = 0;
  private lines = 0;
  private omitted = 0;

  constructor(private readonly logger: EventLogger) {}

  /**
   * Logs a finished request.
   * @param record - Fields of the log line.
   * @param now - Monotonic time in milliseconds.
   */
  write(record: RequestRecord, now: number): void {
    const isRoutine = record.status < 400 && record.attempts.length === 1;
    if (isRoutine && !this.isBelowRateLimit(now)) {
      this.omitted++;
      return;
    }
    const omitted = this.omitted > 0 ? {omittedLines: this.omitted} : undefined;
    this.omitted = 0;
    this.logger.info('request', {...record, ...omitted});
  }

  /**
   * Logs a streamed response that the endpoint did not complete.
   * @param details - Ids of the request and the endpoint, and the reason.
   */
  writeIncomplete(details: {
    id: string;
    endpoint: string;
    reason: string;
  }): void {
    this.logger.warn('answer broken off', details);
  }

  /**
   * Logs an unexpected error that ended a request.
   * @param id - Id of the request.
   * @param err - The error.
   */
  writeError(id: string, err: unknown): void {
    this.logger.error('request failed', {id, reason: getErrorMessage(err)});
  }

  private isBelowRateLimit(now: number): boolean {
    const second = Math.floor(now / 1_000);
    if (second !== this.currentSecond) {
      this.currentSecond = second;
      this.lines = 0;
    }
    this.lines++;
    return this.lines <= MAX_ROUTINE_LINES_PER_S;
  }
}
