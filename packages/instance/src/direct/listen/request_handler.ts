import type {IncomingMessage, Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {isIdempotent, type ResourcePlan} from '@primrosestage/steering';
import type {BodyBuffers} from './body_buffers.js';
import {writeFailure} from '../answer/failure_response.js';
import {Decision} from '../decision.js';
import {
  CallerConnections,
  REFUSED_RETRY_AFTER_MS,
} from './caller_connections.js';
import {readDeadlineMs, releaseFields} from './caller_request.js';
import type {RequestExchangeOptions} from './exchange_options.js';
import type {LimitReport} from './limit_report.js';
import type {PipelinedRequest} from './pipelined_request.js';
import {hasBody} from './read_body.js';
import {RequestExchange} from './request_exchange.js';

/** Configures the handling of callers' requests. */
export interface RequestHandlerOptions extends RequestExchangeOptions {
  plan: ResourcePlan;
  report: LimitReport;
  /** Memory for the heads of requests. */
  headBuffers: BodyBuffers;
}

/** Handles the HTTP requests of callers and counts those in progress. */
export class RequestHandler {
  private readonly connections: CallerConnections;
  private openCount = 0;
  private readonly unfinished = new Set<RequestExchange>();

  /**
   * Creates the handler.
   * @param server - The server of callers.
   * @param options - Limits, and the dependencies of the exchanges that it starts.
   */
  constructor(
    server: Server,
    private readonly options: RequestHandlerOptions,
  ) {
    this.connections = new CallerConnections(server, {
      ...options,
      isIdempotent: req => this.isIdempotent(req),
      releaseFields: req => releaseFields(req, options.names),
      readDeadlineMs: req => readDeadlineMs(req, options.names),
      start: request => this.start(request),
    });
    server.on('request', (req, res) => this.connections.receive(req, res));
  }

  /** The number of requests in progress; a response that is still being streamed is not counted. */
  get openRequests(): number {
    return this.openCount;
  }

  /**
   * Stops reading from a connection whose bytes are no request.
   * @param connection - The connection of a caller.
   * @returns Whether a request on it may run.
   */
  stopReading(connection: Duplex): boolean {
    return this.connections.stopReading(connection);
  }

  /**
   * Closes a connection without taking from its caller what it has not read yet.
   * @param connection - The connection of a caller.
   */
  closeLingering(connection: Duplex): void {
    this.connections.closeLingering(connection);
  }

  /**
   * Returns whether a connection is not read at present.
   * @param connection - The connection of a caller.
   */
  isHeld(connection: Duplex): boolean {
    return this.connections.isHeld(connection);
  }

  /** Ends the requests that a planned stop cannot wait for. */
  endUnfinished(): void {
    for (const exchange of this.unfinished) exchange.endForStop();
  }

  /** Observes the callers' reading and updates the metrics of what is held. */
  sweep(): void {
    this.connections.sweep();
    const {metrics, bodyBuffers, bodySegments} = this.options;
    const {headBuffers, responseBuffers} = this.options;
    bodySegments.trim();
    metrics.heldBytes.set({kind: 'bodies'}, bodyBuffers.usedBytes);
    metrics.heldBytes.set({kind: 'heads'}, headBuffers.usedBytes);
    metrics.heldBytes.set({kind: 'responses'}, responseBuffers.usedBytes);
    metrics.pausedConnections.set(this.connections.pausedConnections);
  }

  private isIdempotent({headers, url}: IncomingMessage): boolean {
    const {routes} = this.options.view;
    const route = routes.find(headers.host ?? '', url ?? '');
    return !route || isIdempotent(route.kind);
  }

  private start(request: PipelinedRequest): void {
    if (request.isRefused) {
      this.refuse(request);
      return;
    }
    this.openCount++;
    this.options.metrics.openRequests.set(this.openCount);
    const exchange = new RequestExchange(request, this.options);
    this.unfinished.add(exchange);
    request.handleSettled = () => {
      this.unfinished.delete(exchange);
      exchange.handleSettled();
    };
    void exchange.run().finally(() => {
      this.openCount--;
      this.options.metrics.openRequests.set(this.openCount);
    });
  }

  /** Refuses a request at little cost: without a log line of its own. */
  private refuse(request: PipelinedRequest): void {
    const {req, res} = request;
    const {metrics, names} = this.options;
    const leavesBody = hasBody(req) && !req.complete;
    metrics.requests.inc({
      service: '',
      status: 503,
      decided_by: Decision.TooManyRequests,
    });
    const id = req.headers[names.requestId];
    if (leavesBody) request.abandonBody();
    writeFailure(res, {
      status: 503,
      requestId:
        typeof id === 'string' ? {name: names.requestId, value: id} : undefined,
      retryAfterMs: REFUSED_RETRY_AFTER_MS,
      closesConnection: leavesBody,
    });
  }
}
