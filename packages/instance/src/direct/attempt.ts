import type {IncomingMessage} from 'node:http';

/** Names how one attempt at an endpoint ended. */
export enum AttemptOutcome {
  /** A whole answer, or the beginning of a long one. */
  Answered = 'answered',
  /** The endpoint states that it has not run the request. */
  Refused = 'refused',
  /** No connection could be opened; nothing was sent. */
  NotSent = 'not-sent',
  /** The connection broke, or the answer is not one to this request; it may have run. */
  Broken = 'broken',
  /** No answer in time; it may have run. */
  TimedOut = 'timed-out',
  /** Ended by this side because the caller left or another attempt answered. */
  Cancelled = 'cancelled',
}

/** Holds an endpoint's answer. */
export interface EndpointResponse {
  status: number;
  statusMessage: string;
  /** Names and values in turn. */
  rawHeaders: string[];
  /** Whether the answer states its length; where it does not, its end proves nothing. */
  isSelfDelimited: boolean;
  /** What has been received; all of the body unless `rest` is set. */
  chunks: Buffer[];
  /** The rest of an answer that is too long to be held. */
  bodyStream?: IncomingMessage;
}

/** Holds how an attempt ended. */
export interface AttemptResult {
  outcome: AttemptOutcome;
  response?: EndpointResponse;
  /** Why there is no answer. */
  reason: string;
  /** The endpoint's load header. */
  load?: string;
  /** Whether the connection had served a request before. */
  isReused: boolean;
  /** Time to open a new connection in milliseconds; undefined on a pooled one. */
  connectMs?: number;
}
