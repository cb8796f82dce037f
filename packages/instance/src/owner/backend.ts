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
  PeerConnectionPool,
  type Refusal,
  toRefusal,
} from '../exchange/index.js';
import {copyEndToEndHeaders, type RequestBody} from '../http/index.js';
import type {RequestContext} from '../request_context.js';

/** Time from the first sign of leaving after which an endpoint receives no new work. */
const LEAVING_GRACE_MS = 3_000;
/** Connections beyond the slots, for exchanges whose connection is still closing. */
const SPARE_SOCKETS = 2;

/** Configures the connections to one endpoint. */
export interface BackendOptions {
  endpoint: Endpoint;
  connect: ConnectFunction;
  timers: TimerService;
  monitor: InvariantMonitor;
  progressTimeoutMs: number;
  /** Receives what requests show of the endpoint's health. */
  onHealthEvent(event: HealthEvent): void;
}

/** Describes the end of one attempt at an endpoint. */
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
  private leavingSince?: number;

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
   * Notes a sign that the endpoint is leaving, from whichever source.
   * @param since - Time of the first sign in monotonic milliseconds; undefined ends the sign.
   */
  setLeaving(since: number | undefined): void {
    this.leavingSince =
      since === undefined
        ? undefined
        : Math.min(since, this.leavingSince ?? since);
  }

  /**
   * Sends a request.
   * @param ctx - The request's context.
   * @param body - Its body.
   * @param traceParent - The trace to continue.
   * @param signal - Cancels the request at the endpoint.
   * @returns The answer, whose body is still to be read, or the failure.
   */
  async send(
    ctx: RequestContext,
    body: RequestBody,
    traceParent: string | undefined,
    signal: AbortSignal,
  ): Promise<BackendResult> {
    const {timers, monitor, endpoint} = this.options;
    const now = timers.now();
    const leavingForMs = now - (this.leavingSince ?? Infinity);
    monitor.check(
      Invariant.NoNewWorkAfterLeaving,
      !(leavingForMs > LEAVING_GRACE_MS),
      {requestId: ctx.requestId, peer: endpoint.id, leavingForMs},
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
    if (result.err) return this.fail(ctx, result.err);
    const {res} = result;
    if (res.headers[HeaderName.Draining] === '1') {
      this.options.onHealthEvent({
        kind: HealthEventKind.DrainSignal,
        source: DrainSource.Response,
      });
    }
    const isNotRun =
      res.statusCode === 503 &&
      res.headers[HeaderName.Outcome] === Outcome.NotRun;
    if (isNotRun) {
      result.cancel();
      return {
        mayHaveRun: false,
        mayRunForMs: 0,
        refusal: {
          outcome: Outcome.NotRun,
          status: 503,
          step: Step.Backend,
          peer: endpoint.id,
          message: `${endpoint.id} refused the request`,
        },
      };
    }
    return {
      answer: {
        status: res.statusCode ?? 502,
        headers: copyEndToEndHeaders(res.headers),
        chunks: this.watchChunks(ctx, result.chunks),
        cancel: result.cancel,
      },
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.pool[Symbol.asyncDispose]();
  }

  private async *watchChunks(
    ctx: RequestContext,
    chunks: AsyncIterable<Buffer>,
  ): AsyncGenerator<Buffer> {
    try {
      yield* chunks;
    } catch (err) {
      this.fail(ctx, err as ExchangeError);
      throw err;
    }
    this.options.onHealthEvent({kind: HealthEventKind.Answered});
  }

  private fail(ctx: RequestContext, err: ExchangeError): BackendResult {
    const kind = getHealthEventKind(err);
    if (kind) this.options.onHealthEvent({kind});
    if (kind === HealthEventKind.ConnectFailed) this.pool.closeIdle();
    const isSilent = err.kind === FailureKind.Silent;
    return {
      mayHaveRun: err.mayHaveRun,
      // The close of a silent connection does not reach the endpoint, which therefore runs
      // the request to its end.
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
      // A connection that was idle may have been closed for that reason.
      return err.isReused ? undefined : HealthEventKind.ExchangeFailed;
    case FailureKind.Malformed:
      return HealthEventKind.ExchangeFailed;
    default:
      return undefined;
  }
}
