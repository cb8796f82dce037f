import type {Tracer} from '@opentelemetry/api';
import {
  type ConnectFunction,
  HeaderName,
  Outcome,
  RequestClass,
  Step,
  type TimerService,
} from '@primrosestage/common';
import type {InstanceInfo} from '@primrosestage/steering';
import type {IncomingMessage} from 'node:http';
import {
  type AttemptResult,
  type ExchangeResult,
  FailureKind,
  PeerConnectionPool,
  toRefusal,
} from '../exchange/index.js';
import {
  copyEndToEndHeaders,
  getHeader,
  type RequestBody,
} from '../http/index.js';
import type {RequestContext} from '../request_context.js';
import {type RequestMetrics, startHopSpan} from '../telemetry/index.js';
import type {InstanceRole} from './instance_role.js';
import {readRefusal} from './read_refusal.js';

/** Maximum number of connections to one instance. */
const MAX_CONNECTIONS_PER_INSTANCE = 512;
/** The owner's progress timeout must expire first, so that its refusal is received. */
const PROGRESS_TIMEOUT_FACTOR = 1.25;

/** Configures the relay. */
export interface RelayTaskOptions {
  timers: TimerService;
  tracer: Tracer;
  metrics: RequestMetrics;
  connect: ConnectFunction;
  progressTimeoutMs: number;
}

/** Sends requests to other instances. */
export class RelayTask implements AsyncDisposable {
  private readonly pools = new Map<string, PeerConnectionPool>();

  constructor(private readonly options: RelayTaskOptions) {}

  /**
   * Sends a request to the internal listener of another instance.
   * @param peer - The instance.
   * @param role - Role in which it handles the request.
   * @param ctx - The request's context.
   * @param body - Its body.
   * @param signal - Cancels the request.
   * @returns The answer, whose body has not been read yet, or the refusal.
   */
  async send(
    peer: InstanceInfo,
    role: InstanceRole,
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const span = startHopSpan({
      tracer: this.options.tracer,
      step: Step.Relay,
      peer: peer.id,
      requestId: ctx.requestId,
      traceParent: ctx.traceParent,
    });
    const result = await this.getPool(peer).send({
      method: ctx.method,
      path: ctx.url,
      headers: this.createHeaders(peer, role, ctx, span.traceParent),
      requestId: ctx.requestId,
      body,
      deadlineAt: ctx.deadlineAt,
      needsFreshConnection: ctx.requestClass === RequestClass.NonIdempotent,
      signal,
    });
    const attempt = await this.toAttemptResult(peer, role, ctx, result);
    span.end(
      attempt.refusal?.outcome ?? Outcome.Answered,
      attempt.refusal?.message,
    );
    return attempt;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const pool of this.pools.values()) await pool[Symbol.asyncDispose]();
  }

  private createHeaders(
    peer: InstanceInfo,
    role: InstanceRole,
    ctx: RequestContext,
    traceParent: string | undefined,
  ) {
    const remainingMs = ctx.deadlineAt - this.options.timers.now();
    return {
      ...copyEndToEndHeaders(ctx.headers),
      host: peer.internalAddress,
      [HeaderName.RequestId]: ctx.requestId,
      [HeaderName.Hops]: String(ctx.hops + 1),
      [HeaderName.DeadlineMs]: String(Math.max(0, Math.floor(remainingMs))),
      [HeaderName.SourceRegion]: ctx.sourceRegion,
      [HeaderName.SourceZone]: ctx.sourceZone,
      [HeaderName.Role]: role,
      ...(ctx.isFirstAttempt ? {[HeaderName.Attempt]: '1'} : {}),
      ...(traceParent === undefined
        ? {}
        : {[HeaderName.TraceParent]: traceParent}),
    };
  }

  private async toAttemptResult(
    peer: InstanceInfo,
    role: InstanceRole,
    ctx: RequestContext,
    result: ExchangeResult,
  ): Promise<AttemptResult> {
    if (result.err) {
      if (result.err.kind === FailureKind.Silent) {
        this.options.metrics.silentConnections.inc({peer: peer.id});
      }
      return {refusal: toRefusal(result.err)};
    }
    const {res} = result;
    const isAnswered =
      getHeader(res.headers, HeaderName.Outcome) === Outcome.Answered &&
      getHeader(res.headers, HeaderName.RequestId) === ctx.requestId;
    if (!isAnswered) return {refusal: await readRefusal(peer.id, role, result)};
    return {
      answer: {
        status: res.statusCode ?? 502,
        headers: copyEndToEndHeaders(res.headers),
        chunks: result.chunks,
        cancel: result.cancel,
        freeSlots: getFreeSlots(res),
        originalStatus: getHeader(res.headers, HeaderName.OriginalStatus),
      },
    };
  }

  private getPool(peer: InstanceInfo): PeerConnectionPool {
    let pool = this.pools.get(peer.internalAddress);
    if (!pool) {
      pool = new PeerConnectionPool({
        ...this.options,
        step: Step.Relay,
        peer: peer.id,
        address: peer.internalAddress,
        maxSockets: MAX_CONNECTIONS_PER_INSTANCE,
        progressTimeoutMs:
          this.options.progressTimeoutMs * PROGRESS_TIMEOUT_FACTOR,
      });
      this.pools.set(peer.internalAddress, pool);
    }
    return pool;
  }
}

function getFreeSlots(res: IncomingMessage): number | undefined {
  const text = getHeader(res.headers, HeaderName.FreeSlots);
  return text !== undefined && /^-?\d{1,9}$/.test(text)
    ? Number(text)
    : undefined;
}
