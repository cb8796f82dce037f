import {
  type ConnectFunction,
  HeaderName,
  Invariant,
  type InvariantMonitor,
  Outcome,
  RequestClass,
  Step,
  type TimerService,
} from '@primrosestage/common';
import {
  DrainSource,
  type Endpoint,
  type HealthEvent,
  HealthEventKind,
} from '@primrosestage/steering';
import {
  type Answer,
  type ExchangeError,
  FailureKind,
  isProvenNotRun,
  PeerConnectionPool,
  type Refusal,
  toRefusal,
} from '../exchange/index.js';
import {copyEndToEndHeaders, type RequestBody} from '../http/index.js';
import type {RequestContext} from '../request_context.js';

/**
 * Time after the first drain signal of an endpoint for which requests may still be sent to it, in
 * milliseconds.
 */
const DRAIN_GRACE_MS = 3_000;
/** Connections allowed beyond the slots, because those of ended exchanges may still be closing. */
const SPARE_SOCKETS = 2;

/** Configures the connections to one endpoint. */
export interface BackendOptions {
  endpoint: Endpoint;
  connect: ConnectFunction;
  timers: TimerService;
  monitor: InvariantMonitor;
  progressTimeoutMs: number;
  /** Called with each health event that a request to the endpoint yields. */
  onHealthEvent(event: HealthEvent): void;
}

/** Describes the result of one attempt at an endpoint. */
export type BackendResult =
  | {readonly answer: Answer; readonly refusal?: undefined}
  | {
      readonly answer?: undefined;
      readonly refusal: Refusal;
      readonly mayHaveRun: boolean;
      /** Time in milliseconds for which the endpoint may still run the request. */
      readonly mayRunForMs: number;
    };

/** Sends requests to one endpoint. */
export class Backend implements AsyncDisposable {
  private readonly pool: PeerConnectionPool;
  private drainingSince?: number;

  constructor(private readonly options: BackendOptions) {
    const {endpoint} = options;
    this.pool = new PeerConnectionPool({
      ...options,
      step: Step.Backend,
      peer: endpoint.id,
      address: endpoint.address,
      maxSockets: Math.min(
        endpoint.maxConnections,
        endpoint.slots + SPARE_SOCKETS,
      ),
    });
  }

  /**
   * Sets the time since which the endpoint has signalled a drain; an earlier time that is already
   * set is kept.
   * @param since - Time of the first signal in monotonic milliseconds; undefined if the endpoint no
   *   longer drains.
   */
  setDrainingSince(since: number | undefined): void {
    this.drainingSince =
      since === undefined
        ? undefined
        : Math.min(since, this.drainingSince ?? since);
  }

  /**
   * Sends a request.
   * @param ctx - The request's context.
   * @param body - Its body.
   * @param traceParent - The trace to continue.
   * @param signal - Cancels the request at the endpoint.
   * @returns The answer, whose body has not been read yet, or the refusal.
   */
  async send(
    ctx: RequestContext,
    body: RequestBody,
    traceParent: string | undefined,
    signal: AbortSignal,
  ): Promise<BackendResult> {
    const {timers, monitor, endpoint} = this.options;
    const now = timers.now();
    const drainingForMs = now - (this.drainingSince ?? Infinity);
    monitor.check(
      Invariant.NoNewRequestsAfterLeaving,
      !(drainingForMs > DRAIN_GRACE_MS),
      {
        requestId: ctx.requestId,
        peer: endpoint.id,
        leavingForMs: drainingForMs,
      },
    );
    const result = await this.pool.send({
      method: ctx.method,
      path: ctx.path,
      headers: {
        ...copyEndToEndHeaders(ctx.headers),
        host: endpoint.address,
        [HeaderName.RequestId]: ctx.requestId,
        [HeaderName.DeadlineMs]: String(
          Math.max(0, Math.floor(ctx.deadlineAt - now)),
        ),
        ...(traceParent === undefined
          ? {}
          : {[HeaderName.TraceParent]: traceParent}),
      },
      requestId: ctx.requestId,
      body,
      deadlineAt: ctx.deadlineAt,
      needsFreshConnection: ctx.requestClass === RequestClass.NonIdempotent,
      signal,
    });
    if (result.err) return this.handleFailure(ctx, result.err);
    const {res} = result;
    if (res.headers[HeaderName.Draining] === '1') {
      this.options.onHealthEvent({
        kind: HealthEventKind.DrainSignal,
        source: DrainSource.Response,
      });
    }
    if (res.headers[HeaderName.Outcome] === Outcome.NotRun) {
      result.cancel();
      const isProven = res.statusCode === 503 && isProvenNotRun(result);
      return isProven ? this.createRefused() : this.createUnproven(ctx);
    }
    return {
      answer: {
        status: res.statusCode ?? 502,
        headers: copyEndToEndHeaders(res.headers),
        chunks: this.observeBody(ctx, result.chunks),
        cancel: result.cancel,
      },
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.pool[Symbol.asyncDispose]();
  }

  private createRefused(): BackendResult {
    const {id} = this.options.endpoint;
    return {
      mayHaveRun: false,
      mayRunForMs: 0,
      refusal: {
        outcome: Outcome.NotRun,
        status: 503,
        step: Step.Backend,
        peer: id,
        message: `${id} refused the request`,
      },
    };
  }

  /** A refusal that may be one of another request does not show that this one is not running. */
  private createUnproven(ctx: RequestContext): BackendResult {
    const {id} = this.options.endpoint;
    return {
      mayHaveRun: true,
      mayRunForMs: Math.max(0, ctx.deadlineAt - this.options.timers.now()),
      refusal: {
        outcome: Outcome.Unknown,
        status: 502,
        step: Step.Backend,
        peer: id,
        message: `${id} sent a refusal that may belong to another request`,
      },
    };
  }

  private async *observeBody(
    ctx: RequestContext,
    chunks: AsyncIterable<Buffer>,
  ): AsyncGenerator<Buffer> {
    try {
      yield* chunks;
    } catch (err) {
      this.handleFailure(ctx, err as ExchangeError);
      throw err;
    }
    this.options.onHealthEvent({kind: HealthEventKind.Answered});
  }

  private handleFailure(
    ctx: RequestContext,
    err: ExchangeError,
  ): BackendResult {
    const kind = getHealthEventKind(err);
    if (kind) this.options.onHealthEvent({kind});
    if (kind === HealthEventKind.ConnectFailed) this.pool.closeIdle();
    const isSilent = err.kind === FailureKind.Silent;
    return {
      mayHaveRun: err.mayHaveRun,
      // The endpoint does not notice that a silent connection is closed, and therefore runs the
      // request to completion.
      mayRunForMs: isSilent
        ? Math.max(0, ctx.deadlineAt - this.options.timers.now())
        : 0,
      refusal: toRefusal(err),
    };
  }
}

function getHealthEventKind(
  err: ExchangeError,
):
  | HealthEventKind.ConnectFailed
  | HealthEventKind.Stalled
  | HealthEventKind.ExchangeFailed
  | undefined {
  switch (err.kind) {
    case FailureKind.Connect:
      return HealthEventKind.ConnectFailed;
    case FailureKind.Silent:
      return HealthEventKind.Stalled;
    case FailureKind.Broken:
      // The endpoint may have closed a reused connection because it was idle.
      return err.isReused ? undefined : HealthEventKind.ExchangeFailed;
    case FailureKind.Malformed:
      return HealthEventKind.ExchangeFailed;
    default:
      return undefined;
  }
}
