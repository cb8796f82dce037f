/** How a run at a backend server ended. */
export enum RunEnd {
  Complete = 'complete',
  Cancelled = 'cancelled',
  Deadline = 'deadline',
  Crashed = 'crashed',
}

/** Records one run at a backend server; times are wall-clock milliseconds. */
export interface RunRecord {
  kind: 'run';
  /** Attempt id, from the path or the request id header. */
  id: string;
  key: string;
  isIdempotent: boolean;
  endpoint: string;
  startMs: number;
  endMs: number;
  end: RunEnd;
  /** Time since the endpoint first reported that it is draining, at the start of the run. */
  sinceDrainReportMs?: number;
}

/** Result of one attempt as the caller observed it. */
export enum AttemptResult {
  Answered = 'answered',
  NotRun = 'not-run',
  /** No connection was established, so nothing was sent. */
  Unreachable = 'unreachable',
  Unknown = 'unknown',
  /** The connection failed before the end of the body. */
  Truncated = 'truncated',
  /**
   * The status is unexpected, the body is not the answer to the request, or the body has the wrong
   * length although it ended without a connection error.
   */
  Wrong = 'wrong',
}

/** Records one attempt of a caller; times are wall-clock milliseconds. */
export interface AttemptRecord {
  kind: 'attempt';
  /** `request~number`; a request can have several attempts. */
  id: string;
  key: string;
  service: string;
  zone: string;
  isIdempotent: boolean;
  /** Whether the caller makes no further attempt. */
  isLast: boolean;
  instance: string;
  startMs: number;
  endMs: number;
  result: AttemptResult;
  status: number;
  step: string;
  peer: string;
  detail: string;
}

/**
 * Gets the request that an attempt belongs to.
 * @param attemptId - `request~number`.
 * @returns The id of the request.
 */
export function getRequestId(attemptId: string): string {
  return attemptId.slice(0, attemptId.lastIndexOf('~'));
}
