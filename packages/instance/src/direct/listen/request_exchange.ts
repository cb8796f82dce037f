import type {IncomingMessage, ServerResponse} from 'node:http';
import {hasAllFields, HeaderName, Step} from '@primrosestage/common';
import {
  type AccountLookup,
  AccountStatus,
  getRequestTerms,
  getRetryAfterMs,
  isIdempotent,
  type RequestTerms,
  type Route,
} from '@primrosestage/steering';
import {AttemptOutcome, discardResponse} from '../send/attempt.js';
import type {BodyReservation} from './body_buffers.js';
import {
  getHeaderBytes,
  readAccountKey,
  readDeadlineMs,
  readObjectKey,
} from './caller_request.js';
import {getHeader} from '../../http/headers.js';
import type {HopSpan} from '../../telemetry/hop_span.js';
import {Decision, getFailureStatus} from '../decision.js';
import type {RequestExchangeOptions} from './exchange_options.js';
import {discardHeaders, writeFailure} from '../answer/failure_response.js';
import {monitorStream} from '../answer/monitor_stream.js';
import {BodyFault, canSkipBody, readBody} from './read_body.js';
import type {RequestBody} from '../send/request_body.js';
import type {ReceivedResponse} from '../send/response_holder.js';
import type {PendingOutcome, QuotaOutcome} from '../limits/quota_gate.js';
import {RetryingSender} from '../send/retrying_sender.js';
import {UnforwardableRequestError} from '../send/unforwardable_request_error.js';
import {RESPONSE_GRACE_MS, type OpenAttempt} from '../send/start_attempt.js';
import {showsTruncation, writeResponse} from '../answer/write_response.js';
import type {PipelinedRequest} from './pipelined_request.js';

/** Deadline of a request without a deadline header, in milliseconds. */
const DEFAULT_DEADLINE_MS = 10_000;
/** Longest time of a streamed response to a request without a deadline header, in milliseconds. */
const MAX_RESPONSE_MS = 3_600_000;
/** Base of `retry-after` without a configuration or an estimate of free slots, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 300;
/** Base of `retry-after` while this instance stops and others serve, in milliseconds. */
const STOPPING_RETRY_AFTER_MS = 50;

/** Handles one request from its arrival to its final response. */
export class RequestExchange {
  private readonly req: IncomingMessage;
  private readonly res: ServerResponse;
  private readonly arrivedAt: number;
  private readonly requestId: string;
  private isCallerDisconnected = false;
  private isFinished = false;
  private sender?: RetryingSender;
  /** Remaining body of a response that is being streamed. */
  private bodyStream?: IncomingMessage;
  private route?: Route;
  private account?: AccountLookup;
  private service?: string;
  private objectKey = '';
  private deadlineAt = 0;
  private retryAfterMs?: number;
  /** The wait for credit of the account's quota. */
  private quotaWait?: PendingOutcome;
  /** Credit of the account's quota that was taken. */
  private quota?: QuotaOutcome;
  private span?: HopSpan;

  constructor(
    private readonly request: PipelinedRequest,
    private readonly options: RequestExchangeOptions,
  ) {
    const {req, res, arrivedAt} = request;
    this.req = req;
    this.res = res;
    this.arrivedAt = arrivedAt;
    this.requestId = String(req.headers[options.names.requestId] ?? '');
    res.on('close', () => this.handleClose());
    res.on('error', () => this.handleClose());
    req.on('aborted', () => this.handleClose());
  }

  /** Handles the request up to its final response; never rejects. */
  async run(): Promise<void> {
    try {
      this.startSpan();
      await this.handle();
    } catch (err) {
      this.options.log.writeError(this.requestId, err);
      this.finishAfterError(err);
    }
  }

  /**
   * Ends the request at the end of a planned stop. A response that is still being streamed is
   * aborted, so that its caller does not wait for the rest.
   */
  endForStop(): void {
    this.bodyStream?.destroy();
    if (this.isFinished) return;
    this.finishFailed(Decision.Stopping);
    this.sender?.cancelOpenAttempts();
  }

  /**
   * Ends the request if its response cannot be sent. Node.js reports no end of a response that was
   * still waiting behind others when its connection was closed.
   */
  handleSettled(): void {
    if (!this.res.writableFinished) this.bodyStream?.destroy();
    this.handleClose();
  }

  private startSpan(): void {
    this.span = this.options.startSpan?.({
      step: Step.Ingress,
      peer: this.req.socket.remoteAddress ?? '',
      requestId: this.requestId,
      traceParent: getHeader(this.req.headers, HeaderName.TraceParent),
    });
  }

  private async handle(): Promise<void> {
    const {view, names, timers} = this.options;
    const {configuration} = view;
    if (!configuration) {
      this.finish(503, Decision.NoConfiguration);
      return;
    }
    const {maxHeaderBytes} = configuration.limits;
    if (!hasAllFields(this.req) || getHeaderBytes(this.req) > maxHeaderBytes) {
      this.finish(431, Decision.TooLarge);
      return;
    }
    const route = view.routes.find(
      this.req.headers.host ?? '',
      this.req.url ?? '',
    );
    if (!route) {
      this.finish(404, Decision.NoRoute);
      return;
    }
    this.route = route;
    if (this.requestId === '') {
      this.finish(400, Decision.BadRequest);
      return;
    }
    if (!this.findAccount(route)) return;
    const deadlineMs = readDeadlineMs(this.req, names) ?? DEFAULT_DEADLINE_MS;
    this.deadlineAt = this.arrivedAt + deadlineMs;
    const timeoutMs = route.timeoutMs > 0 ? route.timeoutMs : Infinity;
    const timeoutAt = Math.min(this.deadlineAt, this.arrivedAt + timeoutMs);
    this.objectKey =
      (route.isSticky ? readObjectKey(this.req, names) : undefined) ??
      this.requestId;
    const {maxBodyBytes} = configuration.limits;
    const reservation = this.options.bodyBuffers.open();
    this.request.bodyMemory = reservation;
    this.request.handleBodyRefused = () =>
      this.finish(503, Decision.NoBodyMemory);
    const timeout = timers.after(
      Math.max(0, timeoutAt - timers.now()) + RESPONSE_GRACE_MS,
      () => this.handleTimeout(),
    );
    try {
      const body = await readBody(this.req, this.res, {
        maxBytes: maxBodyBytes,
        reservation,
        segments: this.options.bodySegments,
      });
      await this.forwardBody(route, body, timeoutAt);
    } finally {
      timeout[Symbol.dispose]();
      this.releaseBody(reservation);
    }
  }

  /** Determines the account; refuses the request and returns false if it needs one and has none. */
  private findAccount(route: Route): boolean {
    const {view, names} = this.options;
    this.account = view.accounts.find(readAccountKey(this.req, names), route);
    if (this.account.status !== AccountStatus.Unknown) return true;
    this.finish(401, Decision.UnknownAccount);
    return false;
  }

  /** The request's body stays in memory until its response has been forwarded. */
  private releaseBody(reservation: BodyReservation): void {
    const {bodyStream} = this;
    const release = () => reservation[Symbol.dispose]();
    if (!bodyStream || bodyStream.destroyed) release();
    else bodyStream.once('close', release);
  }

  private async forwardBody(
    route: Route,
    body: RequestBody | undefined | BodyFault,
    timeoutAt: number,
  ): Promise<void> {
    const {selector} = this.options;
    if (this.isFinished) return;
    if (body === BodyFault.TooLarge) {
      this.finish(413, Decision.TooLarge);
      return;
    }
    if (body === BodyFault.NoMemory) {
      this.finish(503, Decision.NoBodyMemory);
      return;
    }
    await this.options.startQueue.waitForStart();
    if (this.isFinished) return;
    if (body === BodyFault.Aborted || this.hasCallerDisconnected()) {
      this.finishWithoutCaller();
      return;
    }
    // The key may have been removed while the body arrived.
    if (!this.findAccount(route)) return;
    const terms = getRequestTerms(route, this.account?.account);
    this.service = selector.chooseService(route, this.objectKey);
    if (this.service === undefined || !hasHome(terms)) {
      this.finish(503, Decision.NoEndpoint);
      return;
    }
    if (!(await this.acquireQuota(route))) return;
    this.options.retryBudgets.countRequest(this.service);
    this.sender = new RetryingSender(
      {
        req: this.req,
        requestId: this.requestId,
        body,
        route,
        terms,
        account: this.account,
        service: this.service,
        objectKey: this.objectKey,
        timeoutAt,
        traceParent: this.span?.traceParent,
      },
      this.options,
    );
    await this.forwardOrFail(this.sender);
  }

  /**
   * Takes credit of the account's quota, for which the request may have to wait. Refuses the request
   * and returns false if there is none; also returns false if the request ends meanwhile.
   */
  private async acquireQuota(route: Route): Promise<boolean> {
    const decision = this.options.quotas.acquire(this.account?.account);
    if (!decision) return true;
    const isPending = 'outcome' in decision;
    const outcome = isPending ? await this.awaitQuota(decision) : decision;
    if (isPending && !this.mayStart(route)) {
      outcome.giveBack();
      return false;
    }
    if (!outcome.isGranted) {
      this.retryAfterMs = outcome.retryAfterMs;
      const decidedBy = Decision.QuotaExceeded;
      this.finish(getFailureStatus(decidedBy, false), decidedBy);
      return false;
    }
    this.quota = outcome;
    return true;
  }

  /** Ends a request that must not start any more, because of what has happened while it waited. */
  private mayStart(route: Route): boolean {
    if (this.isFinished) return false;
    if (this.hasCallerDisconnected()) {
      this.finishWithoutCaller();
      return false;
    }
    return this.findAccount(route);
  }

  private async awaitQuota(pending: PendingOutcome): Promise<QuotaOutcome> {
    this.quotaWait = pending;
    const outcome = await pending.outcome;
    this.quotaWait = undefined;
    return outcome;
  }

  private async forwardOrFail(sender: RetryingSender): Promise<void> {
    const result = await sender.send();
    if (this.isFinished) {
      discardResponse(result);
      return;
    }
    if (result.response) {
      this.forwardResponse(result);
      sender.cancelOpenAttempts();
    } else this.finishFailed(result.decision);
  }

  private forwardResponse({response, from}: ReceivedResponse): void {
    this.sender?.stop();
    const isHead = this.req.method === 'HEAD';
    if (!showsTruncation(response, this.res, isHead)) {
      discardResponse({response});
      this.finish(502, Decision.LengthUnknown);
      return;
    }
    if (this.res.destroyed) discardResponse({response});
    else {
      this.bodyStream = response.bodyStream;
      if (response.bodyStream) this.monitorStream(response.bodyStream, from);
      writeResponse(response, this.res, isHead);
      if (response.reservation) this.request.holdResponse(response.reservation);
    }
    this.isFinished = true;
    this.recordCompletion(response.status, Decision.Endpoint);
  }

  /**
   * Limits the time of a streamed response. A caller that states no deadline decides itself how long
   * it reads, so only `MAX_RESPONSE_MS` applies to it.
   */
  private monitorStream(
    bodyStream: IncomingMessage,
    {endpoint}: OpenAttempt,
  ): void {
    const {names, timers, selector, log, metrics} = this.options;
    const hasDeadline = readDeadlineMs(this.req, names) !== undefined;
    const remainingMs = this.deadlineAt - timers.now();
    monitorStream(bodyStream, {
      timers,
      res: this.res,
      timeoutMs: hasDeadline
        ? remainingMs + RESPONSE_GRACE_MS
        : MAX_RESPONSE_MS,
      onIncomplete: reason => {
        selector.observeFailure(endpoint, false);
        const {id, service} = endpoint.entry;
        metrics.attempts.inc({service, outcome: AttemptOutcome.Broken});
        log.writeIncomplete({id: this.requestId, endpoint: id, reason});
      },
    });
  }

  private handleTimeout(): void {
    if (this.isFinished) return;
    this.finishFailed(Decision.TimedOut);
    this.sender?.cancelOpenAttempts();
  }

  /** Ends the request with an endpoint's error response if there is one, or with a failure status. */
  private finishFailed(decision: Decision): void {
    const canStream =
      decision !== Decision.Stopping &&
      this.options.timers.now() < this.deadlineAt;
    const received = this.sender?.takeErrorResponse(canStream);
    if (!received) {
      this.finish(getFailureStatus(decision, this.mayHaveRun), decision);
      return;
    }
    try {
      this.forwardResponse(received);
    } catch (err) {
      this.options.log.writeError(this.requestId, err);
      this.finishAfterError(err);
    }
  }

  /** Ends the request after an error that may have occurred at any step, with a true status. */
  private finishAfterError(err: unknown): void {
    this.bodyStream?.destroy();
    if (!this.isFinished) {
      if (this.res.headersSent) this.abortResponse();
      else {
        discardHeaders(this.res, this.request.isLast);
        const isCallersFault = err instanceof UnforwardableRequestError;
        if (isCallersFault && !this.mayHaveRun) {
          this.finish(400, Decision.BadRequest);
        } else this.finishFailed(Decision.InternalError);
      }
    }
    this.sender?.cancelOpenAttempts();
  }

  /** Resets the caller's connection, so that what was written of a response is not taken for whole. */
  private abortResponse(): void {
    this.isFinished = true;
    this.res.socket?.resetAndDestroy();
    this.recordCompletion(0, Decision.InternalError);
  }

  private get mayHaveRun(): boolean {
    return this.sender?.mayHaveRun === true;
  }

  private finish(status: number, decision: Decision): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.sender?.stop();
    this.quotaWait?.cancel();
    if (status === 503) {
      this.retryAfterMs = this.computeRetryAfterMs(decision);
      this.quota?.giveBack();
    }
    const {isLast} = this.request;
    const leavesBody = isLast && this.leavesBody(status, decision);
    const {requestId, retryAfterMs} = this;
    const {names} = this.options;
    try {
      if (!this.res.destroyed) {
        if (leavesBody) this.request.abandonBody();
        writeFailure(this.res, {
          status,
          requestId:
            requestId === ''
              ? undefined
              : {name: names.requestId, value: requestId},
          retryAfterMs,
          closesConnection: leavesBody || (isLast && status === 431),
        });
      }
    } catch (err) {
      this.options.log.writeError(this.requestId, err);
      this.res.socket?.resetAndDestroy();
    }
    this.recordCompletion(status, decision);
  }

  /** Says whether the rest of the request's body is not read, so that its connection must close. */
  private leavesBody(status: number, decision: Decision): boolean {
    if (status === 413) return true;
    const isAwaited = decision === Decision.TimedOut && !this.req.complete;
    const {limits} = this.options.view.configuration ?? {};
    return isAwaited || !canSkipBody(this.req, limits?.maxBodyBytes ?? 0);
  }

  private computeRetryAfterMs(decision: Decision): number {
    const {timers, random} = this.options;
    const capacityInMs =
      decision === Decision.Stopping
        ? STOPPING_RETRY_AFTER_MS
        : (this.sender?.retryAfterMs ?? NOT_READY_RETRY_AFTER_MS);
    return getRetryAfterMs({
      capacityInMs,
      remainingMs:
        this.deadlineAt === 0
          ? Infinity
          : Math.max(0, this.deadlineAt - timers.now()),
      random: random(),
    });
  }

  /** The socket shows the end of a connection some event loop iterations before `close`. */
  private hasCallerDisconnected(): boolean {
    const {socket} = this.req;
    return (
      this.isCallerDisconnected || socket.readableEnded || socket.destroyed
    );
  }

  private handleClose(): void {
    if (this.res.writableFinished || this.isCallerDisconnected) return;
    this.isCallerDisconnected = true;
    if (this.isFinished) return;
    this.finishWithoutCaller();
  }

  private finishWithoutCaller(): void {
    this.isFinished = true;
    this.sender?.stop();
    this.quotaWait?.cancel();
    // A non-idempotent request is not cancelled: its response may have been about to arrive.
    if (!this.route || isIdempotent(this.route.kind)) {
      this.sender?.cancelOpenAttempts();
    }
    this.recordCompletion(0, Decision.CallerDisconnected);
  }

  private recordCompletion(status: number, decision: Decision): void {
    const {metrics, log, timers, view} = this.options;
    const now = timers.now();
    const service = this.service ?? '';
    const ms = now - this.arrivedAt;
    this.span?.end(decision, status < 500 ? undefined : `status ${status}`);
    metrics.requests.inc({service, status, decided_by: decision});
    if (service !== '') metrics.requestSeconds.observe({service}, ms / 1_000);
    log.write(
      {
        id: this.requestId,
        route: this.route?.name,
        service: this.service,
        configuration: view.configuration?.version,
        account: this.account?.account?.name,
        object: this.objectKey === this.requestId ? undefined : this.objectKey,
        status,
        decidedBy: decision,
        remainingMs: Math.round(this.deadlineAt - now),
        retryAfterMs: this.retryAfterMs,
        ms: Math.round(ms),
        limited: this.sender?.limited,
        attempts: this.sender?.getAttemptRecords() ?? [],
      },
      now,
    );
  }
}

function hasHome(
  terms: RequestTerms,
): terms is RequestTerms & {homeRegions: readonly string[]} {
  return terms.homeRegions !== undefined;
}
