import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {
  getErrorMessage,
  HeaderName,
  type Logger,
  Outcome,
  Step,
  StepError,
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
import {sendHop, sendJson, sendRefusal} from '../http/index.js';
import type {OwnerTask} from '../owner/index.js';
import type {RequestContext} from '../request_context.js';
import {parseRequest, type ParseRequestOptions} from './parse_request.js';

const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
]);

/** Configures the ingress. */
export interface IngressTaskOptions {
  parse: ParseRequestOptions;
  topology: Topology;
  self: InstanceInfo;
  hash: Hash64;
  owner: OwnerTask;
  timers: TimerService;
  logger: Logger;
  progressTimeoutMs: number;
  connect: ConnectFunction;
}

/** Takes requests from callers and passes them to the owner of an endpoint. */
export class IngressTask implements AsyncDisposable {
  private readonly agent: http.Agent;

  constructor(private readonly options: IngressTaskOptions) {
    this.agent = createAgent({connect: options.connect});
  }

  /**
   * Answers a request in full or refuses it.
   * @param req - The caller's or another instance's request.
   * @param res - Its response.
   */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    let ctx: RequestContext;
    try {
      ctx = parseRequest(req, this.options.parse);
    } catch (err) {
      const stepErr = err as StepError;
      sendJson(res, stepErr.step === Step.Lookup ? 404 : 400, {
        step: stepErr.step,
        peer: stepErr.peer,
        message: getErrorMessage(err),
      });
      return;
    }
    const owner = this.chooseOwner(ctx);
    if (!owner || owner.id === this.options.self.id || ctx.hops > 0) {
      await this.options.owner.handle(ctx, req, res);
      return;
    }
    await this.relay(ctx, owner, req, res);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.agent.destroy();
  }

  private chooseOwner(ctx: RequestContext): InstanceInfo | undefined {
    const {topology, hash, self} = this.options;
    const endpoints = topology.getEndpoints(ctx.service.team, ctx.service.name);
    const rank = (endpoint: Endpoint) =>
      endpoint.zone === self.zone ? 0 : endpoint.region === self.region ? 1 : 2;
    const [nearest] = [...endpoints].sort((a, b) => rank(a) - rank(b));
    if (!nearest) return undefined;
    return getCandidates(nearest, topology.instances, hash)[0];
  }

  private async relay(
    ctx: RequestContext,
    owner: InstanceInfo,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const abort = new AbortController();
    res.once('close', () => abort.abort());
    const result = await sendHop({
      step: Step.Relay,
      peer: owner.id,
      address: owner.internalAddress,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: {
        ...filterHeaders(req.headers),
        [HeaderName.RequestId]: ctx.requestId,
        [HeaderName.Hops]: String(ctx.hops + 1),
        [HeaderName.DeadlineMs]: String(this.getRemainingMs(ctx)),
        [HeaderName.SourceRegion]: ctx.sourceRegion,
        [HeaderName.SourceZone]: ctx.sourceZone,
      },
      body: req,
      agent: this.agent,
      timers: this.options.timers,
      deadlineMs: this.getRemainingMs(ctx),
      progressTimeoutMs: this.options.progressTimeoutMs,
      signal: abort.signal,
    });
    if (result.res) {
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

  private getRemainingMs(ctx: RequestContext): number {
    return Math.max(0, Math.floor(ctx.deadlineAt - this.options.timers.now()));
  }
}

/**
 * Removes the headers that hold for one connection only.
 * @param headers - Headers as received.
 * @returns Headers to pass on.
 */
export function filterHeaders(
  headers: http.IncomingHttpHeaders,
): http.OutgoingHttpHeaders {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !HOP_BY_HOP_HEADERS.has(name)),
  );
}

/**
 * Streams an answer to the caller; a truncated one destroys the caller's connection.
 * @param from - The answer received.
 * @param res - The answer sent.
 */
export async function passOn(
  from: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  res.writeHead(from.statusCode ?? 502, filterHeaders(from.headers));
  try {
    await pipeline(from, res);
  } catch {
    res.destroy();
  }
}
