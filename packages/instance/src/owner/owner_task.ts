import type http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  HeaderName,
  Outcome,
  Step,
  type TimerService,
  type ConnectFunction,
  createAgent,
} from '@primrosestage/common';
import {
  type Endpoint,
  getCandidates,
  type Hash64,
  type InstanceInfo,
  type Topology,
} from '@primrosestage/steering';
import {sendHop, sendRefusal} from '../http/index.js';
import {filterHeaders, passOn} from '../ingress/ingress_task.js';
import type {RequestContext} from '../request_context.js';

/** Configures the owner. */
export interface OwnerTaskOptions {
  topology: Topology;
  self: InstanceInfo;
  hash: Hash64;
  timers: TimerService;
  progressTimeoutMs: number;
  connect: ConnectFunction;
}

/** Owns endpoints: admits requests to them by exact count and sends them on. */
export class OwnerTask implements AsyncDisposable {
  private readonly agent: http.Agent;
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly options: OwnerTaskOptions) {
    this.agent = createAgent({connect: options.connect});
  }

  /**
   * Sends a request to an owned endpoint or refuses it.
   * @param ctx - The request's context.
   * @param req - The request.
   * @param res - Its response.
   */
  async handle(
    ctx: RequestContext,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const endpoint = this.chooseEndpoint(ctx);
    if (!endpoint) {
      sendRefusal(res, {
        status: 503,
        outcome: Outcome.NotRun,
        step: Step.Owner,
        peer: this.options.self.id,
        message: `no free slot for ${ctx.service.name}`,
        retryAfterSeconds: 1,
      });
      return;
    }
    this.addInFlight(endpoint, 1);
    try {
      await this.exchange(ctx, endpoint, req, res);
    } finally {
      this.addInFlight(endpoint, -1);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.agent.destroy();
  }

  private chooseEndpoint(ctx: RequestContext): Endpoint | undefined {
    const {topology, hash, self} = this.options;
    const getInFlight = (endpoint: Endpoint) =>
      this.inFlight.get(endpoint.id) ?? 0;
    return topology
      .getEndpoints(ctx.service.team, ctx.service.name)
      .filter(
        endpoint =>
          getCandidates(endpoint, topology.instances, hash)[0]?.id === self.id,
      )
      .filter(endpoint => getInFlight(endpoint) < endpoint.slots)
      .sort((a, b) => getInFlight(a) - getInFlight(b))[0];
  }

  private addInFlight(endpoint: Endpoint, delta: number): void {
    this.inFlight.set(
      endpoint.id,
      (this.inFlight.get(endpoint.id) ?? 0) + delta,
    );
  }

  private async exchange(
    ctx: RequestContext,
    endpoint: Endpoint,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const abort = new AbortController();
    res.once('close', () => abort.abort());
    const remainingMs = Math.max(
      0,
      Math.floor(ctx.deadlineAt - this.options.timers.now()),
    );
    const result = await sendHop({
      step: Step.Backend,
      peer: endpoint.id,
      address: endpoint.address,
      method: req.method ?? 'GET',
      path: ctx.path,
      headers: {
        ...filterHeaders(req.headers),
        [HeaderName.RequestId]: ctx.requestId,
        [HeaderName.DeadlineMs]: String(remainingMs),
      },
      body: req,
      agent: this.agent,
      timers: this.options.timers,
      deadlineMs: remainingMs,
      progressTimeoutMs: this.options.progressTimeoutMs,
      signal: abort.signal,
    });
    if (result.res) {
      if (!result.res.headers[HeaderName.Outcome]) {
        result.res.headers[HeaderName.Outcome] = Outcome.Answered;
      }
      await passOn(result.res, res);
      return;
    }
    sendRefusal(res, {
      status: result.mayHaveRun ? 502 : 503,
      outcome: result.mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
      step: result.err.step,
      peer: result.err.peer,
      message: result.err.message,
    });
  }
}
