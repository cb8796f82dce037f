import type {IncomingMessage, ServerResponse} from 'node:http';
import {HeaderName, Step} from '@primrosestage/common';
import {
  getRetryAfterMs,
  isIdempotent,
  type Route,
} from '@primrosestage/steering';
import {AttemptOutcome, type EndpointResponse} from './attempt.js';
import {
  BodyFault,
  getHeaderBytes,
  readBody,
  readDeadlineMs,
  readObjectKey,
} from './caller_request.js';
import {getHeader} from '../http/headers.js';
import type {HopSpan} from '../telemetry/hop_span.js';
import {AttemptRace, type FinishedAttempt} from './attempt_race.js';
import {Decision, getFailureStatus} from './decision.js';
import type {RequestExchangeOptions} from './exchange_options.js';
import {observeAttempt} from './observe_attempt.js';
import {monitorStream} from './monitor_stream.js';
import type {AttemptRecord} from './request_log.js';
import {
  RESPONSE_GRACE_MS,
  createAttemptRecord,
  type OpenAttempt,
  startAttempt,
} from './start_attempt.js';
import {writeResponse} from './write_response.js';

/** Largest request body that is buffered in memory, in bytes. */
const MAX_BUFFERED_BODY_BYTES = 16 * 1024 * 1024;
/** Deadline of a request without a deadline header, in milliseconds. */
const DEFAULT_DEADLINE_MS = 10_000;
/** Longest time of a streamed response to a request without a deadline header, in milliseconds. */
const MAX_RESPONSE_MS = 3_600_000;
/** Base of `retry-after` without a configuration or an estimate of free slots, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 300;

/** Handles one request from its arrival to its final response. */
export class RequestExchange {
  private readonly arrivedAt: number;
  private readonly requestId: string;
  private readonly attempts: AttemptRecord[] = [];
  private readonly tried = new Set<string>();
  private readonly openAttempts = new Set<OpenAttempt>();
  private isCallerDisconnected = false;
  private isFinished = false;
  private mayHaveRun = false;
  private route?: Route;
  private service?: string;
  private objectKey = '';
  private deadlineAt = 0;
  private timeoutAt = 0;
  private retryAfterMs?: number;
  private limited?: string[];
  private readonly span?: HopSpan;

  constructor(
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly options: RequestExchangeOptions,
  ) {
    this.arrivedAt = options.timers.now();
    this.requestId = String(req.headers[options.names.requestId] ?? '');
    this.span = options.startSpan?.({
      step: Step.Ingress,
      peer: req.socket.remoteAddress ?? '',
      requestId: this.requestId,
      traceParent: getHeader(req.headers, HeaderName.TraceParent),
    });
    res.on('close', () => this.handleClose());
    res.on('error', () => this.handleClose());
    req.on('aborted', () => this.handleClose());
  }

  /** Handles the request up to its final response; never rejects. */
  async run(): Promise<void> {
    try {
      await this.handle();
    } catch (err) {
      // The request cannot be forwarded unchanged, for example because of an invalid path.
      this.options.log.writeError(this.requestId, err);
      this.finish(this.mayHaveRun ? 502 : 400, Decision.BadRequest);
    }
  }

  private async handle(): Promise<void> {
    const {view, names, timers, selector} = this.options;
    const {configuration} = view;
    if (!configuration) {
      this.retryAfterMs = NOT_READY_RETRY_AFTER_MS;
      this.finish(503, Decision.NoConfiguration);
      return;
    }
    if (getHeaderBytes(this.req) > configuration.limits.maxHeaderBytes) {
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
    const deadlineMs = readDeadlineMs(this.req, names) ?? DEFAULT_DEADLINE_MS;
    this.deadlineAt = this.arrivedAt + deadlineMs;
    const timeoutMs = route.timeoutMs > 0 ? route.timeoutMs : Infinity;
    this.timeoutAt = Math.min(this.deadlineAt, this.arrivedAt + timeoutMs);
    this.objectKey =
      (route.isSticky ? readObjectKey(this.req, names) : undefined) ??
      this.requestId;
    const maxBytes = Math.min(
      MAX_BUFFERED_BODY_BYTES,
      configuration.limits.maxBodyBytes,
    );
    const body = await readBody(this.req, maxBytes);
    if (body === BodyFault.TooLarge) {
      this.finish(413, Decision.TooLarge);
      return;
    }
    await this.options.startQueue.waitForStart();
    if (body === BodyFault.Aborted || this.hasCallerDisconnected()) {
      if (!this.isFinished) this.finishWithoutCaller();
      return;
    }
    this.service = selector.chooseService(route, this.objectKey);
    if (this.service === undefined) {
      this.finish(503, Decision.NoEndpoint);
      return;
    }
    this.options.retryBudgets.countRequest(this.service);
    const timeout = timers.after(
      Math.max(0, this.timeoutAt - timers.now()) + RESPONSE_GRACE_MS,
      () => this.handleTimeout(),
    );
    try {
      await this.sendWithRetries(route, this.service, body);
    } finally {
      timeout[Symbol.dispose]();
    }
  }

  /** Sends the request, with retries and hedging if allowed, until there is a final response. */
  private async sendWithRetries(
    route: Route,
    service: string,
    body: Buffer | undefined,
  ): Promise<void> {
    const race = new AttemptRace(this.options.timers);
    let decision = Decision.NoCapacity;
    for (let sent = 0; ;) {
      const open = this.mayStartAttempt(sent, route, service)
        ? await this.startNextAttempt(route, service, body)
        : undefined;
      if (open) {
        sent++;
        race.add(open, this.awaitAttempt(open));
      }
      if (race.size === 0) break;
      const isHedgeable =
        open !== undefined && isIdempotent(route.kind) && sent < route.attempts;
      const finished = await race.takeFirstFinished(
        isHedgeable ? open.hedgeDelayMs : Infinity,
      );
      if (this.isFinished) return;
      if (!finished) continue;
      if (this.isResponseFinal(finished, sent, race.size)) {
        this.forwardResponse(
          finished.result.response as EndpointResponse,
          finished.open,
        );
        this.cancelOpenAttempts();
        return;
      }
      decision = this.recordFailure(finished.result.outcome);
      if (this.mayHaveRun && !isIdempotent(route.kind)) break;
    }
    if (!this.isFinished) this.finishFailed(decision);
  }

  /** The first attempt is always allowed; others are limited by the route and the retry budget. */
  private mayStartAttempt(
    sent: number,
    route: Route,
    service: string,
  ): boolean {
    if (sent === 0) return true;
    if (sent >= route.attempts) return false;
    const {retryBudgets, metrics} = this.options;
    if (retryBudgets.tryAcquire(service)) return true;
    metrics.retries.inc({service, cause: 'no-allowance'});
    return false;
  }

  private recordFailure(outcome: AttemptOutcome): Decision {
    switch (outcome) {
      case AttemptOutcome.Refused:
        return Decision.Refused;
      case AttemptOutcome.NotSent:
        return Decision.NoEndpoint;
      case AttemptOutcome.TimedOut:
        this.mayHaveRun = true;
        return Decision.TimedOut;
      default:
        this.mayHaveRun = true;
        return Decision.ConnectionBroken;
    }
  }

  /** An error response to an idempotent request is retried if attempts and time remain. */
  private isResponseFinal(
    finished: FinishedAttempt,
    sent: number,
    pendingCount: number,
  ): boolean {
    const {response, outcome} = finished.result;
    if (!response || outcome !== AttemptOutcome.Answered) return false;
    const route = this.route as Route;
    if (response.status < 500 || !isIdempotent(route.kind)) return true;
    if (pendingCount > 0) return false;
    if (sent >= route.attempts) return true;
    const {selector, timers} = this.options;
    const neededMs = 2 * selector.getServiceMs(this.service as string);
    return this.timeoutAt - timers.now() < neededMs;
  }

  private async startNextAttempt(
    route: Route,
    service: string,
    body: Buffer | undefined,
  ): Promise<OpenAttempt | undefined> {
    const {req, requestId, objectKey, tried, timeoutAt} = this;
    const {open, limited, ...refusal} = await startAttempt(
      {
        req,
        requestId,
        traceParent: this.span?.traceParent,
        body,
        selection: {route, service, objectKey, tried},
        timeoutAt,
        isFinished: () => this.isFinished,
      },
      this.options,
    );
    if (limited?.length) this.limited = [...limited];
    if (open) {
      this.tried.add(open.endpoint.entry.id);
      this.openAttempts.add(open);
    } else if ('retryAfterMs' in refusal) {
      this.retryAfterMs = refusal.retryAfterMs;
    }
    return open;
  }

  private async awaitAttempt(open: OpenAttempt): Promise<FinishedAttempt> {
    const {selector, limitTracker, timers, metrics} = this.options;
    const result = await open.attempt.result;
    this.openAttempts.delete(open);
    const at = timers.now();
    observeAttempt(open, result, selector, {at, objectKey: this.objectKey});
    limitTracker.observeAttempt(open.endpoint, result);
    open.span?.end(result.outcome, result.response ? undefined : result.reason);
    const ms = at - open.startedAt;
    const {service} = open.endpoint.entry;
    metrics.attempts.inc({service, outcome: result.outcome});
    metrics.attemptSeconds.observe({service}, ms / 1_000);
    this.attempts.push(
      createAttemptRecord(open, result.outcome, result.reason, ms),
    );
    return {open, result};
  }

  private forwardResponse(response: EndpointResponse, from: OpenAttempt): void {
    this.isFinished = true;
    if (!this.res.destroyed) {
      if (response.bodyStream) this.monitorStream(response.bodyStream, from);
      writeResponse(response, this.res, this.req.method === 'HEAD');
    }
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
    const mayHaveRun = this.mayHaveRun || this.openAttempts.size > 0;
    this.mayHaveRun = mayHaveRun;
    this.finishFailed(Decision.TimedOut);
    this.cancelOpenAttempts();
  }

  private finishFailed(decision: Decision): void {
    this.finish(getFailureStatus(decision, this.mayHaveRun), decision);
  }

  private finish(status: number, decision: Decision): void {
    const headers: Record<string, string> = {'content-length': '0'};
    if (this.requestId !== '') {
      headers[this.options.names.requestId] = this.requestId;
    }
    if (status === 503) headers['retry-after'] = this.getRetryAfter();
    if (status === 413 || status === 431) headers['connection'] = 'close';
    if (this.isFinished) return;
    this.isFinished = true;
    if (!this.res.destroyed) this.res.writeHead(status, headers).end();
    this.recordCompletion(status, decision);
  }

  private getRetryAfter(): string {
    const {timers, random} = this.options;
    this.retryAfterMs = getRetryAfterMs({
      capacityInMs: this.retryAfterMs ?? NOT_READY_RETRY_AFTER_MS,
      remainingMs:
        this.deadlineAt === 0
          ? Infinity
          : Math.max(0, this.deadlineAt - timers.now()),
      random: random(),
    });
    return (this.retryAfterMs / 1_000).toFixed(3);
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
    // A non-idempotent request is not cancelled: its response may have been about to arrive.
    if (!this.route || isIdempotent(this.route.kind)) this.cancelOpenAttempts();
    this.recordCompletion(0, Decision.CallerDisconnected);
  }

  private cancelOpenAttempts(): void {
    for (const {attempt} of this.openAttempts) attempt.cancel();
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
        object: this.objectKey === this.requestId ? undefined : this.objectKey,
        status,
        decidedBy: decision,
        remainingMs: Math.round(this.deadlineAt - now),
        retryAfterMs: status === 503 ? this.retryAfterMs : undefined,
        ms: Math.round(ms),
        limited: this.limited,
        attempts: [
          ...this.attempts,
          ...[...this.openAttempts].map(open =>
            createAttemptRecord(open, 'open', '', now - open.startedAt),
          ),
        ],
      },
      now,
    );
  }
}
