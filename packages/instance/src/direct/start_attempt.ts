import type {IncomingMessage} from 'node:http';
import {
  getErrorMessage,
  HeaderName,
  Step,
  type TimerService,
} from '@primrosestage/common';
import type {KnownEndpoint} from '@primrosestage/steering';
import {parseAddress} from '../http/parse_address.js';
import type {HopSpan, StartSpan} from '../telemetry/hop_span.js';
import {copyHeaders} from './caller_request.js';
import type {EndpointAgent} from './endpoint_agent.js';
import type {EndpointSelector, SelectionRequest} from './endpoint_selector.js';
import type {LimitTracker} from './limit_tracker.js';
import type {AttemptRecord, LimitRecord} from './request_log.js';
import {
  type Attempt,
  type AttemptRequest,
  sendAttempt,
} from './send_attempt.js';
import type {WireNames} from './wire_names.js';

/**
 * Connect timeout of an endpoint in milliseconds. A lost SYN packet is retransmitted only after a
 * second, so that another endpoint is tried first.
 */
const CONNECT_TIMEOUT_MS = 400;
/** Time allowed beyond the timeout for a response already in transit, in milliseconds. */
export const RESPONSE_GRACE_MS = 60;
/**
 * Delay before a hedged request: a multiple of the expected time, plus a fixed part. A response is
 * unlikely to arrive after it.
 */
const HEDGE_DELAY_FACTOR = 4;
const MIN_HEDGE_DELAY_MS = 150;
/** Shortest remaining time for which a request is still sent to an endpoint, in milliseconds. */
const MIN_REMAINING_MS = 20;

/** Dependencies of starting an attempt. */
export interface AttemptStartOptions {
  selector: EndpointSelector;
  limitTracker: LimitTracker;
  agent: EndpointAgent;
  timers: TimerService;
  names: WireNames;
  /** Starts spans; undefined if tracing is off. */
  startSpan?: StartSpan;
}

/** Describes the request that an attempt sends. */
export interface AttemptSource {
  req: IncomingMessage;
  requestId: string;
  /** The `traceparent` header of the request's span. */
  traceParent: string | undefined;
  body: Buffer | undefined;
  selection: SelectionRequest;
}

/** An attempt that has not ended. */
export interface OpenAttempt {
  endpoint: KnownEndpoint;
  attempt: Attempt;
  startedAt: number;
  /** Estimated queue depth of the endpoint when the request was sent. */
  depth: number;
  /** What was known of the endpoint's rate limit when the request was sent. */
  limit?: LimitRecord;
  /** Trace span of the attempt. */
  span?: HopSpan;
  /** Time after which an idempotent request is hedged to another endpoint, in milliseconds. */
  hedgeDelayMs: number;
}

/** The started attempt, or the time after which a free slot is expected. */
export type AttemptStart =
  | {readonly open: OpenAttempt}
  | {readonly open?: undefined; readonly retryAfterMs?: number};

/**
 * Selects an endpoint and sends the request to it.
 * @param source - The request.
 * @param options - Selector, connection pool and clock.
 */
export function startAttempt(
  source: AttemptSource,
  options: AttemptStartOptions,
): AttemptStart {
  const {selector, timers, names} = options;
  const {req, body, selection} = source;
  const {remainingMs} = selection;
  if (remainingMs < MIN_REMAINING_MS) return {};
  const {choice, endpoint, candidate} = selector.select(selection);
  if (choice.id === undefined) return {retryAfterMs: choice.retryAfterMs};
  if (!endpoint || !candidate || !selector.begin(endpoint)) return {};
  const {entry} = endpoint;
  const headers: Record<string, string | string[] | number> = copyHeaders(
    req.rawHeaders,
    new Set([names.deadlineMs, names.expectedEndpoint, 'content-length']),
  );
  headers[names.deadlineMs] = String(Math.max(1, Math.floor(remainingMs)));
  headers[names.expectedEndpoint] = entry.id;
  if (body !== undefined) headers['content-length'] = body.length;
  const span = options.startSpan?.({
    step: Step.Backend,
    peer: entry.id,
    requestId: source.requestId,
    traceParent: source.traceParent,
  });
  if (span?.traceParent) headers[HeaderName.TraceParent] = span.traceParent;
  const {host, port} = parseAddress(entry.address);
  const request: AttemptRequest = {
    host,
    port,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers,
    body,
    requestId: source.requestId,
    timeoutMs: remainingMs + RESPONSE_GRACE_MS,
    connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, remainingMs),
  };
  let attempt: Attempt;
  try {
    attempt = sendAttempt(request, options);
  } catch (err) {
    selector.getLoad(endpoint).end();
    span?.end('not-sent', getErrorMessage(err));
    throw err;
  }
  return {
    open: {
      endpoint,
      attempt,
      span,
      startedAt: timers.now(),
      depth: candidate.depth,
      limit: options.limitTracker.describe(endpoint),
      hedgeDelayMs: HEDGE_DELAY_FACTOR * choice.finishMs + MIN_HEDGE_DELAY_MS,
    },
  };
}

/**
 * Describes an attempt for the log.
 * @param open - The attempt.
 * @param outcome - Its outcome, or `open` if it has not ended.
 * @param reason - Why there is no response.
 * @param ms - Its duration in milliseconds.
 */
export function createAttemptRecord(
  {endpoint, startedAt, depth, limit}: OpenAttempt,
  outcome: string,
  reason: string,
  ms: number,
): AttemptRecord {
  return {
    endpoint: endpoint.entry.id,
    revision: endpoint.revision,
    entryAgeMs: Math.round(startedAt - endpoint.learnedAt),
    depth: Math.round(depth * 10) / 10,
    limit,
    outcome,
    reason,
    ms: Math.round(ms),
  };
}
