import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {TimerService} from '@primrosestage/common';
import {type ConnectionLoad, getLingerMs} from '@primrosestage/steering';
import {startLingering} from '../../http/lingering_close.js';
import type {BodyBuffers} from './body_buffers.js';
import type {BodySchedule} from './body_schedule.js';
import type {DiscardedBuffers} from '../discarded_buffers.js';
import {HeadMeter} from './head_meter.js';
import {PacedReader} from './paced_reader.js';
import {PipelinedRequest} from './pipelined_request.js';

/** Time that a caller without a deadline has for reading the end of a response, in milliseconds. */
const DEFAULT_READ_MS = 10_000;

/** What a connection needs of all connections of callers. */
export interface ConnectionContext {
  /** Most requests of a connection in progress. */
  maxPipelined: number;
  /** Returns whether a request may run more than once. */
  isIdempotent(req: IncomingMessage): boolean;
  /** Returns how long the caller of a request waits, in milliseconds; undefined if it does not say. */
  readDeadlineMs(req: IncomingMessage): number | undefined;
  timers: TimerService;
  bodyBuffers: BodyBuffers;
  /** Memory for the heads of requests. */
  headBuffers: BodyBuffers;
  /** Gives up the header fields of a request that is refused. */
  releaseFields(req: IncomingMessage): void;
  discardedBuffers: DiscardedBuffers;
  bodySchedule: BodySchedule;
  /** Starts a request. */
  start(request: PipelinedRequest): void;
  /** Returns whether a connection may have another request in progress. */
  hasRoom(connection: CallerConnection): boolean;
  /** Called when a request has arrived, and when its response has ended or its connection closed. */
  handleOpened(connection: CallerConnection, request: PipelinedRequest): void;
  handleSettled(connection: CallerConnection, request: PipelinedRequest): void;
  /** Called when reading has stopped or goes on. */
  handleReading(connection: CallerConnection): void;
  handleHeld(connection: CallerConnection): void;
  /** Called when there is no memory for the head of a request that is being received. */
  handleHeadRefused(connection: CallerConnection): void;
}

/** The connection of a caller with its requests in progress, which may be pipelined. */
export class CallerConnection implements ConnectionLoad {
  progressAt = 0;
  /** Number of requests that await the end of their response and were not refused. */
  admittedRequests = 0;
  private readonly open: PipelinedRequest[] = [];
  private readonly reader: PacedReader;
  private readonly headMeter: HeadMeter;
  private isEnding = false;
  private isDraining = false;
  private isLingering = false;
  /** Monotonic time until which the caller may still be reading responses, in milliseconds. */
  private awaitedUntil = -Infinity;
  private sentBytes = 0;

  /**
   * Takes over the reading of a connection.
   * @param socket - The connection.
   * @param context - Limits and the other connections.
   */
  constructor(
    readonly socket: Socket,
    private readonly context: ConnectionContext,
  ) {
    this.headMeter = new HeadMeter(context.headBuffers);
    this.reader = new PacedReader(socket, {
      mayRead: () => this.mayRead(),
      isReceivingBody: () => this.isReceivingBody,
      handleChange: () => context.handleReading(this),
      handleRead: bytes => context.discardedBuffers.add(bytes),
      isReceivingChunks: () => this.isReceivingChunks,
      handleParsed: part => this.handleParsed(part),
      handlePending: bytes => context.bodyBuffers.addPending(bytes),
      schedule: context.bodySchedule,
    });
    // Node.js closes a connection behind its last response in this way.
    socket.destroySoon = () => this.closeLingering();
    socket.once('close', () => {
      this.headMeter[Symbol.dispose]();
      this.settleAll();
    });
  }

  /** The number of requests that await the end of their response. */
  get requests(): number {
    return this.open.length;
  }

  get unreadBytes(): number {
    return this.open.reduce(
      (sum, {reservation}) => sum + (reservation?.bytes ?? 0),
      0,
    );
  }

  /** Whether no further request is read from it at present. */
  get isHeld(): boolean {
    return this.reader.isStopped && !this.socket.destroyed;
  }

  /** Whether it is not read because of its pipelined requests. */
  get isPaused(): boolean {
    return this.reader.isStopped && !this.isEnding && !this.socket.destroyed;
  }

  /** Whether a request awaits its response that has arrived whole, so that it may run. */
  get mayRun(): boolean {
    return this.open.some(({req}) => req.complete);
  }

  /** Takes a request. One behind a response that closes the connection is never started. */
  receive(req: IncomingMessage, res: ServerResponse): void {
    if (this.isEnding || this.isClosing) {
      this.stopReading();
      return;
    }
    const {context} = this;
    const request = new PipelinedRequest(req, res, context.timers.now(), this);
    request.headMemory = this.headMeter.finish(req);
    request.isRefused = !request.headMemory || !context.hasRoom(this);
    if (request.isRefused) context.releaseFields(req);
    else this.admittedRequests++;
    this.open.push(request);
    res.once('close', () => this.settle(request));
    context.handleOpened(this, request);
    this.startWaiting();
  }

  /** Reads no further request. */
  stopReading(): void {
    this.isEnding = true;
    this.reader.update();
    this.context.handleReading(this);
  }

  /** Reads no further request, and closes the connection behind the responses to those it has. */
  drain(): void {
    this.isDraining = true;
    this.stopReading();
    this.reader.discard();
    const last = this.open.at(-1);
    if (last && !last.res.headersSent) last.res.shouldKeepAlive = false;
  }

  /**
   * Reads no more of a body that is not wanted. The response to its request, which must be the last
   * one, has to close the connection.
   */
  abandonBody(): void {
    this.stopReading();
    this.reader.abandon();
  }

  /**
   * Closes the connection without taking from the caller what it has not read yet: waits until the
   * caller closes it too, or has had the time for it. Requests that arrive meanwhile are dropped.
   */
  closeLingering(): void {
    if (this.isLingering) return;
    this.isLingering = true;
    this.stopReading();
    this.reader.discardRest();
    // A response that closes its connection has not settled yet.
    for (const request of this.open) this.recordAwaited(request);
    const {timers} = this.context;
    const timeoutMs = getLingerMs(this.awaitedUntil - timers.now());
    startLingering(this.socket, {timers, timeoutMs});
  }

  /** Resets the connection; its requests no longer count. */
  close(): void {
    this.isEnding = true;
    this.socket.resetAndDestroy();
    this.settleAll();
  }

  /**
   * Refuses the request whose body is being received.
   * @returns Whether there is one.
   */
  refuseBody(): boolean {
    const last = this.open.at(-1);
    if (!last?.handleBodyRefused || last.req.complete) return false;
    last.handleBodyRefused();
    return true;
  }

  isLast(request: PipelinedRequest): boolean {
    return this.open.at(-1) === request;
  }

  /** Records that a response awaits its caller. */
  recordHeld(request: PipelinedRequest): void {
    if (!this.open.includes(request)) {
      request.settle();
      return;
    }
    if (this.unreadBytes === request.reservation?.bytes) {
      this.progressAt = this.context.timers.now();
    }
    this.context.handleHeld(this);
  }

  /** Notices whether a part of the responses has been sent since the last call. */
  observeProgress(): void {
    const sent = this.socket.bytesWritten - this.socket.writableLength;
    if (sent === this.sentBytes) return;
    this.sentBytes = sent;
    this.progressAt = this.context.timers.now();
  }

  /** Whether a response has been begun that closes the connection. */
  private get isClosing(): boolean {
    return this.open.some(each => each.closesConnection);
  }

  private mayRead(): boolean {
    if (this.isEnding || this.isClosing) return false;
    const {length} = this.open;
    if (length === 0 || this.isReceivingBody) return true;
    // A refusal of a further request would only wait for the responses before it.
    return length < this.context.maxPipelined && this.context.hasRoom(this);
  }

  private get isReceivingBody(): boolean {
    return this.open.at(-1)?.req.complete === false;
  }

  /**
   * Starts requests in their order. A non-idempotent one waits for the responses before it: if the
   * connection were lost, its caller could not tell which of them have run.
   */
  private startWaiting(): void {
    const {maxPipelined} = this.context;
    for (let i = 0; i < Math.min(this.open.length, maxPipelined); i++) {
      const request = this.open[i]!;
      if (request.closesConnection) break;
      if (request.isStarted) continue;
      if (i > 0 && !this.context.isIdempotent(request.req)) break;
      request.isStarted = true;
      this.context.start(request);
    }
    this.reader.update();
  }

  private get isReceivingChunks(): boolean {
    const req = this.open.at(-1)?.req;
    if (!req || req.complete) return false;
    return req.headers['transfer-encoding'] !== undefined;
  }

  /** Counts a part that may belong to a head or to trailers, which only a body in chunks has. */
  private handleParsed(part: Buffer): void {
    if (this.isEnding) return;
    const {isReceivingChunks} = this;
    if (this.isReceivingBody && !isReceivingChunks) return;
    const last = isReceivingChunks ? this.open.at(-1) : undefined;
    if (this.headMeter.count(part, last?.receivedBodyBytes)) return;
    this.context.handleHeadRefused(this);
  }

  private settle(request: PipelinedRequest): void {
    const index = this.open.indexOf(request);
    if (index < 0) return;
    this.open.splice(index, 1);
    if (!request.isRefused) this.admittedRequests--;
    request.settle();
    // The parser holds a request until its body has arrived whole.
    if (!request.req.complete) this.context.releaseFields(request.req);
    this.context.handleSettled(this, request);
    if (this.socket.destroyed) return;
    this.recordAwaited(request);
    if (this.isDraining && this.open.length === 0) this.closeLingering();
    this.startWaiting();
  }

  /** Records until when the caller may be reading a response that has just been sent. */
  private recordAwaited({req, arrivedAt}: PipelinedRequest): void {
    // The rest of a body that is not wanted may fill the buffers of the connection.
    if (!req.complete) return;
    const deadlineMs = this.context.readDeadlineMs(req);
    const until =
      deadlineMs === undefined
        ? this.context.timers.now() + DEFAULT_READ_MS
        : arrivedAt + deadlineMs;
    this.awaitedUntil = Math.max(this.awaitedUntil, until);
  }

  private settleAll(): void {
    for (const request of [...this.open]) this.settle(request);
    this.context.handleReading(this);
  }
}
