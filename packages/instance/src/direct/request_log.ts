import {getErrorMessage, type EventLogger} from '@primrosestage/common';

/** Most lines per second about requests that ended well; others are always tried. */
const MAX_ROUTINE_LINES_PER_S = 100;

/** Records one attempt for the log line of its request. */
export interface AttemptRecord {
  endpoint: string;
  /** Revision of the endpoint's entry and its age in milliseconds. */
  revision: number;
  entryAgeMs: number;
  /** Estimated depth of the endpoint when the request was sent. */
  depth: number;
  outcome: string;
  reason: string;
  ms: number;
}

/** Describes the end of a request for its log line. */
export interface RequestRecord {
  id: string;
  route?: string;
  service?: string;
  configuration?: number;
  object?: string;
  status: number;
  /** Who decided the status: `endpoint` or the reason of this instance. */
  decidedBy: string;
  remainingMs?: number;
  retryAfterMs?: number;
  ms: number;
  attempts: AttemptRecord[];
}

/** Writes one line per request; routine lines are bounded per second. */
export class RequestLog {
  private currentSecond = 0;
  private lines = 0;
  private omitted = 0;

  constructor(private readonly logger: EventLogger) {}

  /**
   * Logs the end of a request.
   * @param record - What decided it.
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
   * Logs an answer that its endpoint did not bring to an end after it was passed on in part.
   * @param details - Ids of the request and the endpoint, and what was seen.
   */
  writeIncomplete(details: {
    id: string;
    endpoint: string;
    reason: string;
  }): void {
    this.logger.warn('answer broken off', details);
  }

  /**
   * Logs an error that ended a request.
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
