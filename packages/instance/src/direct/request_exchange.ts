import type {IncomingMessage, ServerResponse} from 'node:http';
import {HeaderName, Step} from '@primrosestage/common';
import {
  getRetryAfterMs,
  isIdempotent,
  type Route,
} from '@primrosestage/steering';
import {AttemptOutcome, type EndpointAnswer} from './attempt.js';
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
import {guardRest} from './guard_rest.js';
import type {AttemptRecord} from './request_log.js';
import {
  ANSWER_GRACE_MS,
  createAttemptRecord,
  type OpenAttempt,
  startAttempt,
} from './start_attempt.js';
import {writeAnswer} from './write_answer.js';

/** Largest body that is held in memory for a request. */
const MAX_HELD_BODY_BYTES = 16 * 1024 * 1024;
/** Deadline of a request that states none, in milliseconds. */
const DEFAULT_DEADLINE_MS = 10_000;
/** Longest time of an answer to a caller that states no deadline, in milliseconds. */
const MAX_ANSWER_MS = 3_600_000;
/** Time to return for callers that come before the first configuration, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 300;

/** Carries one request from its arrival to its final answer. */
export class RequestExchange {
  private readonly arrivedAt: number;
  private readonly requestId: string;
  private readonly attempts: AttemptRecord[] = [];
  private readonly tried = new Set<string>();
  private readonly open = new Set<OpenAttempt>();
  private isCallerGone = false;
  private isFinished = false;
  private mayHaveRun = false;
  private route?: Route;
  private service?: string;
  private objectKey = '';
  private deadlineAt = 0;
  private endAt = 0;
  private retryAfterMs?: number;
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

  /** Carries the request to its final answer; never fails. */
  async run(): Promise<void> {
    try {
      await this.handle();
    } catch (err) {
      // A request that cannot be written again as it is, such as one with an odd path.
      this.options.log.writeFault(this.requestId, err);
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
    this.endAt = Math.min(this.deadlineAt, this.arrivedAt + timeoutMs);
    this.objectKey =
      (route.isSticky ? readObjectKey(this.req, names) : undefined) ??
      this.requestId;
    const maxBytes = Math.min(
      MAX_HELD_BODY_BYTES,
      configuration.limits.maxBodyBytes,
    );
    const body = await readBody(this.req, maxBytes);
    if (body === BodyFault.TooLarge) {
      this.finish(413, Decision.TooLarge);
      return;
    }
    await this.options.turns.enter();
    if (body === BodyFault.Aborted || this.hasCallerLeft()) {
      if (!this.isFinished) this.endWithoutCaller();
      return;
    }
    this.service = selector.chooseService(route, this.objectKey);
    if (this.service === undefined) {
      this.finish(503, Decision.NoEndpoint);
      return;
    }
    this.options.repeats.countRequest(this.service);
    const end = timers.after(
      Math.max(0, this.endAt - timers.now()) + ANSWER_GRACE_MS,
      () => this.handleTimeout(),
    );
    try {
      await this.sendUntilAnswered(route, this.service, body);
    } finally {
      end[Symbol.dispose]();
    }
  }

  /** Sends the request, again where that is allowed, until there is a final answer. */
  private async sendUntilAnswered(
    route: Route,
    service: string,
    body: Buffer | undefined,
  ): Promise<void> {
    const race = new AttemptRace(this.options.timers);
    let decision = Decision.NoRoom;
    for (let sent = 0; ;) {
      const open = this.mayRepeat(sent, route, service)
        ? this.begin(route, service, body)
        : undefined;
      if (open) {
        sent++;
        race.add(open, this.await(open));
      }
      if (race.size === 0) break;
      const isHedgeable =
        open !== undefined && isIdempotent(route.kind) && sent < route.attempts;
      const finished = await race.takeFirst(
        isHedgeable ? open.patienceMs : Infinity,
      );
      if (this.isFinished) return;
      if (!finished) continue;
      if (this.isAnswerFinal(finished, sent, race.size)) {
        this.passOn(finished.result.answer as EndpointAnswer, finished.open);
        this.cancelOpen();
        return;
      }
      decision = this.noteFailure(finished.result.outcome);
      if (this.mayHaveRun && !isIdempotent(route.kind)) break;
    }
    if (!this.isFinished) this.finishFailed(decision);
  }

  /** The first attempt is free; others need the route's permission and the allowance. */
  private mayRepeat(sent: number, route: Route, service: string): boolean {
    if (sent === 0) return true;
    if (sent >= route.attempts) return false;
    const {repeats, metrics} = this.options;
    if (repeats.take(service)) return true;
    metrics.repeats.inc({service, cause: 'no-allowance'});
    return false;
  }

  private noteFailure(outcome: AttemptOutcome): Decision {
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
        return Decision.Broken;
    }
  }

  /** A failure of an idempotent request is tried once more elsewhere while time is left. */
  private isAnswerFinal(
    finished: FinishedAttempt,
    sent: number,
    pendingCount: number,
  ): boolean {
    const {answer, outcome} = finished.result;
    if (!answer || outcome !== AttemptOutcome.Answered) return false;
    const route = this.route as Route;
    if (answer.status < 500 || !isIdempotent(route.kind)) return true;
    if (pendingCount > 0) return false;
    if (sent >= route.attempts) return true;
    const {selector, timers} = this.options;
    const neededMs = 2 * selector.getServiceMs(this.service as string);
    return this.endAt - timers.now() < neededMs;
  }

  private begin(
    route: Route,
    service: string,
    body: Buffer | undefined,
  ): OpenAttempt | undefined {
    const {req, requestId, objectKey, tried} = this;
    const remainingMs = this.endAt - this.options.timers.now();
    const {open, ...refusal} = startAttempt(
      {
        req,
        requestId,
        traceParent: this.span?.traceParent,
        body,
        selection: {
          route,
          service,
          objectKey,
          tried,
          remainingMs,
        },
      },
      this.options,
    );
    if (open) {
      this.tried.add(open.endpoint.entry.id);
      this.open.add(open);
    } else if ('retryAfterMs' in refusal) {
      this.retryAfterMs = refusal.retryAfterMs;
    }
    return open;
  }

  private async await(open: OpenAttempt): Promise<FinishedAttempt> {
    const {selector, timers, metrics} = this.options;
    const result = await open.attempt.result;
    this.open.delete(open);
    const at = timers.now();
    observeAttempt(open, result, selector, {at, objectKey: this.objectKey});
    open.span?.end(result.outcome, result.answer ? undefined : result.reason);
    const ms = at - open.startedAt;
    const {service} = open.endpoint.entry;
    metrics.attempts.inc({service, outcome: result.outcome});
    metrics.attemptSeconds.observe({service}, ms / 1_000);
    this.attempts.push(
      createAttemptRecord(open, result.outcome, result.reason, ms),
    );
    return {open, result};
  }

  private passOn(answer: EndpointAnswer, from: OpenAttempt): void {
    this.isFinished = true;
    if (!this.res.destroyed) {
      if (answer.rest) this.guardRest(answer.rest, from);
      writeAnswer(answer, this.res, this.req.method === 'HEAD');
    }
    this.logEnd(answer.status, Decision.Endpoint);
  }

  /** A caller that states no deadline decides itself how long it takes an answer. */
  private guardRest(rest: IncomingMessage, {endpoint}: OpenAttempt): void {
    const {names, timers, selector, log, metrics} = this.options;
    const hasDeadline = readDeadlineMs(this.req, names) !== undefined;
    const remainingMs = this.deadlineAt - timers.now();
    guardRest(rest, {
      timers,
      res: this.res,
      endInMs: hasDeadline ? remainingMs + ANSWER_GRACE_MS : MAX_ANSWER_MS,
      onBroken: reason => {
        selector.observeFailure(endpoint, false);
        const {id, service} = endpoint.entry;
        metrics.attempts.inc({service, outcome: AttemptOutcome.Broken});
        log.writeBroken({id: this.requestId, endpoint: id, reason});
      },
    });
  }

  private handleTimeout(): void {
    if (this.isFinished) return;
    const mayHaveRun = this.mayHaveRun || this.open.size > 0;
    this.mayHaveRun = mayHaveRun;
    this.finishFailed(Decision.TimedOut);
    this.cancelOpen();
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
    this.logEnd(status, decision);
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

  /** The end of a connection is known some turns before its close is reported. */
  private hasCallerLeft(): boolean {
    const {socket} = this.req;
    return this.isCallerGone || socket.readableEnded || socket.destroyed;
  }

  private handleClose(): void {
    if (this.res.writableFinished || this.isCallerGone) return;
    this.isCallerGone = true;
    if (this.isFinished) return;
    this.endWithoutCaller();
  }

  private endWithoutCaller(): void {
    this.isFinished = true;
    // Work that cannot be repeated is let finish: the caller may have left just before the answer.
    if (!this.route || isIdempotent(this.route.kind)) this.cancelOpen();
    this.logEnd(0, Decision.CallerLeft);
  }

  private cancelOpen(): void {
    for (const {attempt} of this.open) attempt.cancel();
  }

  private logEnd(status: number, decision: Decision): void {
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
        attempts: [
          ...this.attempts,
          ...[...this.open].map(open =>
            createAttemptRecord(open, 'open', '', now - open.startedAt),
          ),
        ],
      },
      now,
    );
  }
}
