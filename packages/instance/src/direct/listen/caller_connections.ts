import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {TimerService} from '@primrosestage/common';
import {
  CloseReason,
  mayAdmitRequest,
  type ResourcePlan,
  selectBusiest,
  selectUnread,
} from '@primrosestage/steering';
import type {ResponseBuffers} from '../send/response_buffers.js';
import {CallerConnection, type ConnectionContext} from './caller_connection.js';
import type {BodyBuffers} from './body_buffers.js';
import {writeStatus} from '../../http/write_status.js';
import {BodySchedule} from './body_schedule.js';
import type {DiscardedBuffers} from '../discarded_buffers.js';
import type {LimitReport} from './limit_report.js';
import type {PipelinedRequest} from './pipelined_request.js';

/** Name of the callers' listener in metrics and log lines. */
export const CALLER_LISTENER = 'callers';

/** Time after which a caller whose request was refused for a limit may retry, in milliseconds. */
export const REFUSED_RETRY_AFTER_MS = 300;

/** Configures the connections of callers. */
export interface CallerConnectionsOptions {
  plan: ResourcePlan;
  responseBuffers: ResponseBuffers;
  bodyBuffers: BodyBuffers;
  /** Memory for the heads of requests. */
  headBuffers: BodyBuffers;
  /** Gives up the header fields of a request that is refused. */
  releaseFields: (req: IncomingMessage) => void;
  /** Buffers that have been read and are garbage once they are parsed. */
  discardedBuffers: DiscardedBuffers;
  report: LimitReport;
  timers: TimerService;
  /** Returns whether a request may run more than once. */
  isIdempotent: (req: IncomingMessage) => boolean;
  /** Returns how long the caller of a request waits, in milliseconds; undefined if it does not say. */
  readDeadlineMs: (req: IncomingMessage) => number | undefined;
  /** Starts a request whose turn has come. */
  start: (request: PipelinedRequest) => void;
}

/**
 * Tracks the requests in progress on all connections of callers. While there are too many, further
 * ones are refused or not read; a connection whose requests endpoints may be running is reset only
 * as a last resort.
 */
export class CallerConnections {
  private readonly connections = new WeakMap<Duplex, CallerConnection>();
  private readonly busy = new Set<CallerConnection>();
  private readonly paused = new Set<CallerConnection>();
  private readonly holding = new Set<CallerConnection>();
  private readonly context: ConnectionContext;
  private admittedRequests = 0;
  private refusedRequests = 0;

  /**
   * Starts tracking.
   * @param server - The server of callers.
   * @param options - Limits and how requests are started.
   */
  constructor(
    server: Server,
    private readonly options: CallerConnectionsOptions,
  ) {
    const {plan, timers, responseBuffers, isIdempotent, start} = options;
    const {bodyBuffers, headBuffers, discardedBuffers} = options;
    const {readDeadlineMs, releaseFields} = options;
    this.context = {
      timers,
      bodyBuffers,
      headBuffers,
      releaseFields,
      discardedBuffers,
      bodySchedule: new BodySchedule(timers),
      maxPipelined: plan.maxPipelinedRequests,
      isIdempotent,
      readDeadlineMs,
      start,
      hasRoom: connection => this.hasRoom(connection),
      handleOpened: (connection, request) =>
        this.handleOpened(connection, request),
      handleSettled: (connection, request) =>
        this.handleSettled(connection, request),
      handleReading: connection => this.handleReading(connection),
      handleHeld: connection => this.holding.add(connection),
      handleHeadRefused: connection => this.refuseHead(connection),
    };
    responseBuffers.handlePressure = () => this.relievePressure();
    server.on('connection', (socket: Socket) => {
      const connection = new CallerConnection(socket, this.context);
      this.connections.set(socket, connection);
    });
    server.on('timeout', (socket: Socket) => this.closeLingering(socket));
  }

  /** The number of connections that are not read because of their pipelined requests. */
  get pausedConnections(): number {
    return this.paused.size;
  }

  /**
   * Takes a request.
   * @param req - The request.
   * @param res - The response to it.
   */
  receive(req: IncomingMessage, res: ServerResponse): void {
    this.connections.get(req.socket)?.receive(req, res);
  }

  /**
   * Stops reading from a connection whose bytes are no request.
   * @param connection - The connection.
   * @returns Whether a request on it may run: it has arrived whole and awaits its response.
   */
  stopReading(connection: Duplex): boolean {
    const found = this.connections.get(connection);
    found?.stopReading();
    return found?.mayRun === true;
  }

  /**
   * Closes a connection without taking from its caller what it has not read yet.
   * @param connection - The connection.
   */
  closeLingering(connection: Duplex): void {
    this.connections.get(connection)?.closeLingering();
  }

  /**
   * Returns whether a connection is not read at present, since no further request is wanted.
   * @param connection - The connection.
   */
  isHeld(connection: Duplex): boolean {
    return this.connections.get(connection)?.isHeld === true;
  }

  /** Observes which callers read, and closes those that do not while memory is short. */
  sweep(): void {
    for (const connection of this.holding) {
      if (connection.unreadBytes === 0) this.holding.delete(connection);
      else connection.observeProgress();
    }
    if (this.options.responseBuffers.isNearLimit) this.relievePressure();
  }

  private hasRoom(connection: CallerConnection): boolean {
    return mayAdmitRequest(
      {
        onConnection: connection.admittedRequests,
        total: this.admittedRequests,
      },
      this.options.plan.maxOpenRequests,
    );
  }

  private handleOpened(
    connection: CallerConnection,
    {isRefused}: PipelinedRequest,
  ): void {
    this.busy.add(connection);
    if (!isRefused) {
      this.admittedRequests++;
      return;
    }
    this.refusedRequests++;
    this.options.report.countRefused();
    if (this.refusedRequests <= this.options.plan.maxRefusedRequests) return;
    const busiest = selectBusiest(this.busy);
    if (busiest) this.close(busiest, CloseReason.Requests);
  }

  private handleSettled(
    connection: CallerConnection,
    {isRefused}: PipelinedRequest,
  ): void {
    if (isRefused) this.refusedRequests--;
    else this.admittedRequests--;
    if (connection.requests > 0) return;
    this.busy.delete(connection);
    this.holding.delete(connection);
  }

  private handleReading(connection: CallerConnection): void {
    if (!connection.isPaused) {
      this.paused.delete(connection);
      return;
    }
    this.paused.add(connection);
    if (this.paused.size <= this.options.plan.maxPausedConnections) return;
    const [longestPaused] = this.paused;
    const selected = selectBusiest(this.paused) ?? longestPaused;
    if (selected) this.drain(selected);
  }

  /** Refuses a request whose head or trailers have not arrived whole. */
  private refuseHead(connection: CallerConnection): void {
    this.options.report.countRefused();
    if (connection.refuseBody()) return;
    if (connection.requests > 0) {
      connection.drain();
      return;
    }
    writeStatus(connection.socket, 503, REFUSED_RETRY_AFTER_MS);
    connection.closeLingering();
  }

  private relievePressure(): void {
    const {responseBuffers, timers} = this.options;
    const unread = selectUnread(
      this.holding,
      timers.now(),
      responseBuffers.isAboveLimit,
    );
    if (unread) this.close(unread, CloseReason.Unread);
  }

  /** Releases what a paused connection holds; its requests in progress are still answered. */
  private drain(connection: CallerConnection): void {
    this.options.report.countClosed(CALLER_LISTENER, CloseReason.Paused);
    connection.drain();
    this.paused.delete(connection);
  }

  private close(connection: CallerConnection, reason: CloseReason): void {
    this.options.report.countClosed(CALLER_LISTENER, reason);
    connection.close();
    this.paused.delete(connection);
  }
}
