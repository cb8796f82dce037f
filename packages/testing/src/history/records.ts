/** Says how a run at a backend server ended. */
export enum RunEnd {
  Complete = 'complete',
  Cancelled = 'cancelled',
  Deadline = 'deadline',
  Crashed = 'crashed',
}

/** Records one run at a backend server; times are wall-clock milliseconds. */
export interface RunRecord {
  kind: 'run';
  /** Attempt id that the caller put into the path. */
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

/** Says what a caller saw of one attempt. */
export enum AttemptResult {
  Answered = 'answered',
  NotRun = 'not-run',
  /** No connection came about, so nothing was sent. */
  Unreachable = 'unreachable',
  Unknown = 'unknown',
  /** The connection failed within the body. */
  Truncated = 'truncated',
  /** A body that is not the answer to the request, or a clean end before the last byte. */
  Wrong = 'wrong',
}

/** Records one attempt of a caller; times are wall-clock milliseconds. */
export interface AttemptRecord {
  kind: 'attempt';
  /** `request~number`; several attempts belong to one request. */
  id: string;
  key: string;
  service: string;
  zone: string;
  isIdempotent: boolean;
  /** Whether the caller gives up after this attempt. */
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
