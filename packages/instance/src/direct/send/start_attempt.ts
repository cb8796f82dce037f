import type {IncomingMessage} from 'node:http';
import {
  getErrorMessage,
  HeaderName,
  Step,
  type TimerService,
} from '@primrosestage/common';
import {
  type AccountLookup,
  AccountStatus,
  type Candidate,
  type EndpointChoice,
  type KnownEndpoint,
} from '@primrosestage/steering';
import {copyHeaders} from '../../http/copy_headers.js';
import {parseAddress} from '../../http/parse_address.js';
import type {HopSpan, StartSpan} from '../../telemetry/hop_span.js';
import {AttemptOutcome} from './attempt.js';
import type {RequestBody} from './request_body.js';
import type {DiscardedBuffers} from '../discarded_buffers.js';
import type {EndpointAgent} from './endpoint_agent.js';
import type {ResponseBuffers} from './response_buffers.js';
import {
  BeginResult,
  type EndpointSelector,
  type SelectionRequest,
} from '../place/endpoint_selector.js';
import {findRequestHeadFault} from '../../http/head_fault.js';
import type {LimitTracker} from '../limits/limit_tracker.js';
import type {RatePermits} from '../limits/rate_permits.js';
import type {LimitRecord} from '../limits/limit_record.js';
import {
  type Attempt,
  type AttemptRequest,
  sendAttempt,
} from './send_attempt.js';
import {UnforwardableRequestError} from './unforwardable_request_error.js';
import type {WireNames} from '../wire_names.js';

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
/** Most selections for one attempt; each one that is not sent excludes a limited endpoint. */
const MAX_SELECTIONS = 6;

/** Dependencies of starting an attempt. */
export interface AttemptStartOptions {
  selector: EndpointSelector;
  limitTracker: LimitTracker;
  permits: RatePermits;
  agent: EndpointAgent;
  /** Memory for the responses of all requests. */
  responseBuffers: ResponseBuffers;
  /** Buffers read from connections, which await garbage collection. */
  discardedBuffers: DiscardedBuffers;
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
  body: RequestBody | undefined;
  /** Account to which the request belongs. */
  account: AccountLookup | undefined;
  selection: Omit<SelectionRequest, 'remainingMs'>;
  /** Monotonic time at which the request is given up, in milliseconds. */
  timeoutAt: number;
  /** Returns whether the request needs no response any more. */
  isFinished: () => boolean;
  /** Called when the request is being sent, before anything else can happen. */
  handleStart: (open: OpenAttempt) => void;
}

/** An attempt that has not ended. */
export interface OpenAttempt {
  endpoint: KnownEndpoint;
  attempt: Attempt;
  startedAt: number;
  /** Estimated queue depth of the endpoint when the request was sent. */
  depth: number;
  /** The endpoint as it was chosen. */
  candidate: Candidate;
  /** What was known of the endpoint's rate limit when the request was sent. */
  limit?: LimitRecord;
  /** Trace span of the attempt. */
  span?: HopSpan;
  /** Time after which an idempotent request is hedged to another endpoint, in milliseconds. */
  hedgeDelayMs: number;
}

/** The endpoint that was selected for an attempt. */
interface AttemptTarget {
  choice: Extract<EndpointChoice, {id: string}>;
  endpoint: KnownEndpoint;
  candidate: Candidate;
}

/** The started attempt, or the time after which a free slot is expected. */
export type AttemptStart = (
  | {readonly open: OpenAttempt}
  | {readonly open?: undefined; readonly retryAfterMs?: number}
) & {
  /** Ids of the endpoints that were not chosen because of their rate limits. */
  readonly limited?: readonly string[];
};

/**
 * Selects an endpoint and sends the request to it. If the endpoint is limited, the request may wait
 * shortly for a permit, and goes to another endpoint without one.
 * @param source - The request.
 * @param options - Selector, permits, connection pool and clock.
 */
export async function startAttempt(
  source: AttemptSource,
  options: AttemptStartOptions,
): Promise<AttemptStart> {
  for (let i = 0; i < MAX_SELECTIONS; i++) {
    const remainingMs = source.timeoutAt - options.timers.now();
    if (source.isFinished() || remainingMs < MIN_REMAINING_MS) return {};
    const selection = options.selector.select({
      ...source.selection,
      remainingMs,
    });
    const {choice, endpoint, candidate, limited} = selection;
    if (choice.id === undefined) {
      return {retryAfterMs: choice.retryAfterMs, limited};
    }
    if (!endpoint || !candidate) return {limited};
    const result = options.selector.begin(endpoint);
    if (result === BeginResult.Cold) return {limited};
    if (result === BeginResult.Begun) {
      const target = {choice, endpoint, candidate};
      const open = tryStart(target, remainingMs, source, options);
      source.handleStart(open);
      return {open, limited};
    }
    if (result === BeginResult.PermitRequested) {
      await options.permits.waitForReply(endpoint);
    }
  }
  return {};
}

function tryStart(
  target: AttemptTarget,
  remainingMs: number,
  source: AttemptSource,
  options: AttemptStartOptions,
): OpenAttempt {
  try {
    return sendTo(target, remainingMs, source, options);
  } catch (err) {
    options.selector.getLoad(target.endpoint).end();
    throw err;
  }
}

/** Sends the request to the selected endpoint, for which it has been counted. */
function sendTo(
  {choice, endpoint, candidate}: AttemptTarget,
  remainingMs: number,
  source: AttemptSource,
  options: AttemptStartOptions,
): OpenAttempt {
  const {timers, names} = options;
  const {req, body} = source;
  const {entry} = endpoint;
  const limit = options.limitTracker.describe(endpoint);
  const headers: Record<string, string | string[] | number> = copyHeaders(
    req.rawHeaders,
    getOmittedHeaders(names, source.account),
  );
  const accountName = source.account?.account?.name;
  if (accountName !== undefined) headers[names.accountName] = accountName;
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
  return {
    endpoint,
    attempt: trySendAttempt(request, source, options),
    span,
    startedAt: timers.now(),
    depth: candidate.depth,
    candidate,
    limit,
    hedgeDelayMs: HEDGE_DELAY_FACTOR * choice.finishMs + MIN_HEDGE_DELAY_MS,
  };
}

/** Where accounts are used, their headers are set by this instance alone. */
function getOmittedHeaders(
  names: WireNames,
  account: AccountLookup | undefined,
): ReadonlySet<string> {
  const omitted = new Set([
    names.deadlineMs,
    names.expectedEndpoint,
    'content-length',
  ]);
  if (account && account.status !== AccountStatus.NotUsed) {
    omitted.add(names.accountKey).add(names.accountName);
  }
  return omitted;
}

/**
 * Sends the request; an error that only concerns the endpoint, such as an invalid address, fails
 * just this attempt.
 * @throws UnforwardableRequestError if no endpoint can get this request.
 */
function trySendAttempt(
  request: AttemptRequest,
  {req}: AttemptSource,
  options: AttemptStartOptions,
): Attempt {
  try {
    return sendAttempt(request, options);
  } catch (err) {
    const fault = findRequestHeadFault(req);
    if (fault !== undefined) {
      throw new UnforwardableRequestError(
        req.socket.remoteAddress ?? 'caller',
        fault,
      );
    }
    const result = {
      outcome: AttemptOutcome.NotSent,
      reason: getErrorMessage(err),
    };
    return {
      result: Promise.resolve(result),
      getConnectionUse: () => undefined,
      cancel: () => {},
    };
  }
}
