import type {IncomingMessage} from 'node:http';
import type {ResponseReservation} from './response_buffers.js';

/** Outcome of one attempt at an endpoint. */
export enum AttemptOutcome {
  /** A complete response, or the beginning of one that is streamed. */
  Answered = 'answered',
  /** The endpoint states that it has not run the request. */
  Refused = 'refused',
  /** No connection could be opened, so nothing was sent. */
  NotSent = 'not-sent',
  /** The connection failed or the response is invalid; the request may have run. */
  Broken = 'broken',
  /** The response belongs to another request or consists of parts of one; the request may have run. */
  Foreign = 'foreign',
  /** No response before the timeout; the request may have run. */
  TimedOut = 'timed-out',
  /** Cancelled because of a timeout, a caller's disconnect or the response of another attempt. */
  Cancelled = 'cancelled',
}

/** Response of an endpoint. */
export interface EndpointResponse {
  status: number;
  statusMessage: string;
  /** Alternating header names and values. */
  rawHeaders: string[];
  /** Received body chunks; the whole body unless `bodyStream` is set. */
  chunks: Buffer[];
  /** Stream of the remaining body if the response is too long to be buffered. */
  bodyStream?: IncomingMessage;
  /** Memory of the received chunks, if it is counted. */
  reservation?: ResponseReservation;
}

/** Result of an attempt. */
export interface AttemptResult {
  outcome: AttemptOutcome;
  response?: EndpointResponse;
  /** Why there is no response. */
  reason: string;
  /** Value of the endpoint's load header. */
  load?: string;
  /** Value of the endpoint's rate limit header. */
  limit?: string;
  /** Whether the endpoint stated that it leaves. */
  isLeaving?: boolean;
  /** Value of `retry-after` of a response with status 503; repeated values are joined. */
  retryAfter?: string;
  /** Monotonic time in milliseconds at which the response head arrived. */
  respondedAt?: number;
  /** Time to open a new connection in milliseconds; undefined for a pooled one. */
  connectMs?: number;
}

/**
 * Closes the connection of a response that is still being received and will not be forwarded.
 * Otherwise it would stay open, with the received part in memory, until the endpoint closes it.
 * @param result - Result of an attempt.
 */
export function discardResponse({
  response,
}: Pick<AttemptResult, 'response'>): void {
  response?.bodyStream?.destroy();
  response?.reservation?.[Symbol.dispose]();
}
