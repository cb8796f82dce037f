import type http from 'node:http';
import type {Duplex} from 'node:stream';
import {
  type ConnectFunction,
  createAgent,
  startHttpRequest,
  type Step,
  type TimerService,
} from '@primrosestage/common';
import {parseAddress} from '../http/index.js';
import {CarriedRequests} from './carried_requests.js';
import {Exchange, type ExchangeResult, FailureKind} from './exchange.js';
import type {PeerRequest} from './peer_request.js';

/**
 * Maximum idle time of a connection that is used for a non-idempotent request, in milliseconds.
 * Servers close connections that were idle for some seconds. If the server closes the connection
 * while a request is in transit, the outcome of the request is unknown.
 */
const MAX_FRESH_IDLE_MS = 500;
const IDLE_TIMEOUT_MS = 4_000;
/** Connect timeout in milliseconds; long enough for one retransmission of the SYN after 1 s. */
const CONNECT_TIMEOUT_MS = 1_500;
const MAX_RESPONSE_HEADER_BYTES = 16 * 1024;
/** Methods whose requests have no content-length header if the body is empty. */
const BODILESS_METHODS = new Set(['GET', 'HEAD']);

/** Configures the connections to one peer. */
export interface PeerConnectionPoolOptions {
  step: Step;
  /** Name of the peer in errors. */
  peer: string;
  /** `host:port` of the peer. */
  address: string;
  connect: ConnectFunction;
  timers: TimerService;
  maxSockets: number;
  /** Maximum time without progress while waiting for the peer, in milliseconds. */
  progressTimeoutMs: number;
}

/** Pools the connections to one peer. */
export class PeerConnectionPool implements AsyncDisposable {
  private agent: http.Agent;
  private readonly active = new Set<Exchange>();
  private readonly idleSince = new WeakMap<object, number>();
  private readonly carried = new CarriedRequests();
  private readonly progressCheck: AsyncDisposable;

  constructor(private readonly options: PeerConnectionPoolOptions) {
    this.agent = this.createPoolAgent();
    const intervalMs = Math.max(5, options.progressTimeoutMs / 10);
    this.progressCheck = options.timers.every(intervalMs, () =>
      this.failSilentExchanges(),
    );
  }

  /** Number of exchanges that have not ended. */
  get activeCount(): number {
    return this.active.size;
  }

  /**
   * Sends a request and waits for the headers of the answer.
   * @param request - The request.
   * @returns The answer, whose body has not been read yet, or the failure.
   */
  async send(request: PeerRequest): Promise<ExchangeResult> {
    const {timers} = this.options;
    if (request.needsFreshConnection) {
      this.closeIdle(timers.now() - MAX_FRESH_IDLE_MS);
    }
    for (;;) {
      const result = await this.startExchange(request);
      // An unsuitable connection has been closed, so that another one is chosen next.
      if (result.err?.kind !== FailureKind.UnsuitableConnection) return result;
    }
  }

  /**
   * Closes idle connections.
   * @param idleBefore - Closes those that became idle before this monotonic time in milliseconds.
   */
  closeIdle(idleBefore = Infinity): void {
    for (const sockets of Object.values(this.agent.freeSockets)) {
      for (const socket of sockets ?? []) {
        if ((this.idleSince.get(socket) ?? -Infinity) < idleBefore) {
          socket.destroy();
        }
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.progressCheck[Symbol.asyncDispose]();
    this.agent.destroy();
  }

  private startExchange(request: PeerRequest): Promise<ExchangeResult> {
    const {host, port} = parseAddress(this.options.address);
    const headers = {...request.headers};
    const length = request.body.contentLength;
    delete headers['content-length'];
    if (length === undefined) {
      // Node.js does not add chunked encoding for methods that rarely have a body, such as DELETE.
      headers['transfer-encoding'] = 'chunked';
    } else if (length > 0 || !BODILESS_METHODS.has(request.method)) {
      headers['content-length'] = String(length);
    }
    const req = startHttpRequest({
      host,
      port,
      method: request.method,
      path: request.path,
      headers,
      agent: this.agent,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
    });
    const exchange = new Exchange(req, request, {
      ...this.options,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      carried: this.carried,
    });
    this.active.add(exchange);
    void exchange.ended.then(() => this.active.delete(exchange));
    return exchange.run();
  }

  private createPoolAgent(): http.Agent {
    const agent = createAgent({
      connect: this.options.connect,
      maxSockets: this.options.maxSockets,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
    });
    // Declared as void in the types, but Node.js returns whether the connection may be kept.
    const keepSocketAlive = agent.keepSocketAlive.bind(agent) as (
      socket: Duplex,
    ) => boolean;
    agent.keepSocketAlive = (socket: Duplex) => {
      if (!this.carried.hasRoom(socket)) return false;
      this.idleSince.set(socket, this.options.timers.now());
      return keepSocketAlive(socket);
    };
    return agent;
  }

  /**
   * Fails exchanges in which the peer made no progress. The other connections to it are likely
   * to be affected as well: idle ones are closed, and those in use are not reused.
   */
  private failSilentExchanges(): void {
    const now = this.options.timers.now();
    const silent = [...this.active].filter(exchange => exchange.isSilent(now));
    if (silent.length === 0) return;
    const staleAgent = this.agent;
    this.agent = this.createPoolAgent();
    for (const sockets of Object.values(staleAgent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
    staleAgent.keepSocketAlive = () => false;
    for (const exchange of silent) exchange.failSilent();
  }
}
