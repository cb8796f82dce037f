import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Tracer} from '@opentelemetry/api';
import {
  getErrorMessage,
  HeaderName,
  type InvariantMonitor,
  type Logger,
  Outcome,
  Step,
  StepError,
  type TimerService,
} from '@primrosestage/common';
import {
  type AttemptResult,
  sendAnswer,
  type SendAnswerFailure,
} from '../exchange/index.js';
import {
  BodyError,
  getHeader,
  readBody,
  type RequestBody,
  sendRefusal,
} from '../http/index.js';
import type {HomeRouter} from '../idempotency/index.js';
import type {OwnerTask} from '../owner/index.js';
import {type Dispatcher, InstanceRole} from '../relay/index.js';
import type {RequestContext} from '../request_context.js';
import {type RequestMetrics, startHopSpan} from '../telemetry/index.js';
import {parseRequest, type ParseRequestOptions} from './parse_request.js';
import {RequestError} from './request_error.js';
import type {RequestTracker} from './request_tracker.js';

/** Configures the ingress. */
export interface IngressTaskOptions {
  parse: ParseRequestOptions;
  owner: OwnerTask;
  dispatcher: Dispatcher;
  homes: HomeRouter;
  tracker: RequestTracker;
  timers: TimerService;
  logger: Logger;
  monitor: InvariantMonitor;
  tracer: Tracer;
  metrics: RequestMetrics;
  progressTimeoutMs: number;
}

/** Handles requests from callers and other instances: sends a complete answer or a refusal. */
export class IngressTask {
  constructor(private readonly options: IngressTaskOptions) {}

  /**
   * Handles a request.
   * @param req - The request.
   * @param res - Its response.
   * @param isInternal - Whether it was received from another instance.
   */
  async handle(
    req: IncomingMessage,
    res: ServerResponse,
    isInternal: boolean,
  ): Promise<void> {
    this.options.tracker.add(res);
    // Writes fail after the peer has disconnected; the 'close' event is handled instead.
    res.on('error', () => {});
    let ctx: RequestContext;
    try {
      ctx = parseRequest(req, isInternal, this.options.parse);
    } catch (err) {
      this.handleError(err, res);
      return;
    }
    const abort = new AbortController();
    res.once('close', () => {
      if (!res.writableFinished) abort.abort();
    });
    const span = startHopSpan({
      tracer: this.options.tracer,
      step: isInternal ? Step.Owner : Step.Ingress,
      peer: req.socket.remoteAddress ?? '',
      requestId: ctx.requestId,
      traceParent: ctx.traceParent,
    });
    const startedAt = this.options.timers.now();
    const progressReports = this.startProgressReports(res, isInternal);
    try {
      const body = await readBody(req, this.options);
      const result = await this.execute(
        {...ctx, traceParent: span.traceParent},
        body,
        abort.signal,
        isInternal,
      );
      const failure = await this.respond(ctx, result, res);
      span.end(result.refusal?.outcome ?? Outcome.Answered, failure?.message);
      if (!isInternal) this.recordMetrics(ctx, result, failure, startedAt);
    } catch (err) {
      span.end(Outcome.NotRun, getErrorMessage(err));
      this.handleError(err, res, ctx);
    } finally {
      progressReports[Symbol.dispose]();
    }
  }

  private execute(
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
    isInternal: boolean,
  ): Promise<AttemptResult> {
    const {owner, dispatcher, homes} = this.options;
    if (isInternal) {
      return getHeader(ctx.headers, HeaderName.Role) === InstanceRole.Home
        ? homes.executeAsHome(ctx, body, signal)
        : owner.execute(ctx, body, signal);
    }
    return ctx.idempotencyKey === undefined
      ? dispatcher.dispatch(ctx, body, signal)
      : homes.route(ctx, body, signal);
  }

  /** Sends the answer or refusal; returns why the caller did not receive all of it. */
  private async respond(
    ctx: RequestContext,
    result: AttemptResult,
    res: ServerResponse,
  ): Promise<SendAnswerFailure | undefined> {
    const {requestId} = ctx;
    if (result.refusal) {
      const {refusal} = result;
      this.options.logger.log(
        refusal.outcome === Outcome.Unknown ? 'warn' : 'debug',
        'request refused',
        {requestId, ...refusal},
      );
      const isByCaller = res.destroyed;
      sendRefusal(res, {...refusal, requestId});
      return {message: refusal.message, isByCaller};
    }
    if (res.destroyed) {
      result.answer.cancel();
      return {message: 'the caller closed the connection', isByCaller: true};
    }
    const failure = await sendAnswer(result.answer, res, {
      ...this.options,
      requestId,
      isHead: ctx.method === 'HEAD',
    });
    if (failure !== undefined) {
      this.options.logger.info('answer aborted', {
        requestId,
        step: Step.Ingress,
        peer: res.req.socket.remoteAddress,
        message: failure.message,
      });
    }
    return failure;
  }

  private handleError(
    err: unknown,
    res: ServerResponse,
    ctx?: RequestContext,
  ): void {
    const {logger, parse} = this.options;
    const isExpected = err instanceof RequestError || err instanceof BodyError;
    const stepErr = err instanceof StepError ? err : undefined;
    const refusal = {
      requestId: ctx?.requestId,
      step: stepErr?.step ?? Step.Ingress,
      peer: stepErr?.peer ?? parse.self.id,
      message: getErrorMessage(err),
    };
    if (res.destroyed) return;
    if (!isExpected) logger.error('request failed', refusal);
    // After a body error, the remainder of the body may still arrive on the connection.
    if (!res.headersSent) res.setHeader('connection', 'close');
    sendRefusal(res, {
      ...refusal,
      status: isExpected ? err.status : 500,
      outcome: isExpected ? Outcome.NotRun : Outcome.Unknown,
    });
  }

  /**
   * Sends interim 102 responses until the answer starts, so that the progress timeout of the
   * sending instance does not expire while a backend server works.
   */
  private startProgressReports(
    res: ServerResponse,
    isInternal: boolean,
  ): Disposable {
    const {timers, progressTimeoutMs} = this.options;
    if (!isInternal) return {[Symbol.dispose]: () => {}};
    const timer = timers.every(progressTimeoutMs / 4, () => {
      if (!res.headersSent && !res.destroyed) res.writeProcessing();
    });
    return {[Symbol.dispose]: () => void timer[Symbol.asyncDispose]()};
  }

  private recordMetrics(
    ctx: RequestContext,
    result: AttemptResult,
    failure: SendAnswerFailure | undefined,
    startedAt: number,
  ): void {
    const {metrics, timers} = this.options;
    const labels = {team: ctx.service.team, service: ctx.service.name};
    if (failure?.isByCaller) {
      metrics.cancelled.inc(labels);
      return;
    }
    metrics.requestSeconds.observe(labels, (timers.now() - startedAt) / 1e3);
    const outcome =
      result.refusal?.outcome ??
      (failure === undefined ? Outcome.Answered : Outcome.Unknown);
    metrics.countOutcome(labels, outcome, result.refusal?.step ?? Step.Backend);
  }
}
