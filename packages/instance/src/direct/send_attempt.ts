import http, {type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {TimerService} from '@primrosestage/common';
import {
  AttemptOutcome,
  type AttemptResult,
  type EndpointResponse,
} from './attempt.js';
import {type EndpointAgent, isResponseComplete} from './endpoint_agent.js';
import type {WireNames} from './wire_names.js';

/** Bytes of an answer that are held until it is whole; longer ones are passed on as they come. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Parts of an answer that are held; each takes memory of its own, however small it is. */
const MAX_BUFFERED_CHUNKS = 4_096;
/**
 * Bytes after which an answer must have begun or its body must have gone on: heads, interim
 * answers, chunk sizes and trailers may come without end.
 */
const MAX_BYTES_WITHOUT_BODY = 128 * 1024;
/** Bytes and time of the body of a refusal after which its connection is closed. */
const MAX_REFUSAL_BYTES = 64 * 1024;
const MAX_REFUSAL_MS = 1_000;

/** Describes one attempt. */
export interface AttemptRequest {
  host: string;
  port: number;
  method: string;
  path: string;
  /** Names and values. */
  headers: http.OutgoingHttpHeaders;
  body?: Buffer;
  requestId: string;
  /** Time until the attempt is given up, in milliseconds. */
  timeoutMs: number;
  /** Time until a connection must be open, in milliseconds. */
  connectTimeoutMs: number;
}

/** Holds what attempts need. */
export interface AttemptContext {
  agent: EndpointAgent;
  timers: TimerService;
  names: WireNames;
}

/** Lets the sender of an attempt end it. */
export interface Attempt {
  readonly result: Promise<AttemptResult>;
  cancel(): void;
}

/**
 * Sends a request to an endpoint and collects its answer. An answer that is truncated, names
 * another request or is a success without the endpoint's stamp is reported as broken.
 * @param request - The request and its time bounds.
 * @param context - Pool, clock and header names.
 */
export function sendAttempt(
  request: AttemptRequest,
  context: AttemptContext,
): Attempt {
  const sender = new AttemptSender(request, context);
  return {result: sender.result, cancel: () => sender.cancel()};
}

class AttemptSender {
  readonly result: Promise<AttemptResult>;
  private readonly req: http.ClientRequest;
  private resolve!: (result: AttemptResult) => void;
  private isDone = false;
  private isConnected = false;
  private connectMs?: number;
  private readonly startedAt: number;
  private readonly timeout: Disposable;
  private connectTimeout?: Disposable;
  private bytesWithoutBody = 0;
  private readonly countBytes = (chunk: Buffer): void => {
    this.bytesWithoutBody += chunk.length;
    if (this.bytesWithoutBody <= MAX_BYTES_WITHOUT_BODY) return;
    this.end(AttemptOutcome.Broken, 'bytes without an answer');
  };

  constructor(
    private readonly request: AttemptRequest,
    private readonly context: AttemptContext,
  ) {
    const {timers, agent} = context;
    this.startedAt = timers.now();
    this.result = new Promise(resolve => {
      this.resolve = resolve;
    });
    this.req = http.request({
      agent,
      host: request.host,
      port: request.port,
      method: request.method,
      path: request.path,
      headers: request.headers,
      setHost: false,
    });
    this.timeout = timers.after(request.timeoutMs, () =>
      this.end(AttemptOutcome.TimedOut, 'no answer in time'),
    );
    this.req.on('socket', socket => this.watchConnection(socket));
    this.req.on('error', (err: NodeJS.ErrnoException) =>
      this.end(this.getFailureOutcome(), err.code ?? err.message),
    );
    this.req.on('close', () =>
      this.end(this.getFailureOutcome(), 'connection closed'),
    );
    this.req.on('response', res => this.handleResponse(res));
    this.req.end(request.body);
  }

  /** Ends the attempt and its connection. */
  cancel(): void {
    this.end(AttemptOutcome.Cancelled, 'cancelled');
  }

  private watchConnection(socket: Socket): void {
    socket.on('data', this.countBytes);
    if (!socket.connecting) {
      this.isConnected = true;
      return;
    }
    socket.once('connect', () => {
      this.isConnected = true;
      this.connectMs = this.context.timers.now() - this.startedAt;
      this.connectTimeout?.[Symbol.dispose]();
    });
    this.connectTimeout = this.context.timers.after(
      this.request.connectTimeoutMs,
      () => this.end(AttemptOutcome.NotSent, 'connect timeout'),
    );
  }

  /** Nothing is written before the connection is open, so the request cannot have run. */
  private getFailureOutcome(): AttemptOutcome {
    return this.isConnected ? AttemptOutcome.Broken : AttemptOutcome.NotSent;
  }

  private handleResponse(res: IncomingMessage): void {
    const fault = this.findResponseFault(res);
    res.on('error', err => this.end(AttemptOutcome.Broken, err.message));
    if (fault !== undefined) {
      this.end(AttemptOutcome.Broken, fault);
      return;
    }
    const isRefusal =
      res.headers[this.context.names.notRun] !== undefined ||
      res.statusCode === 421;
    if (isRefusal) {
      this.end(AttemptOutcome.Refused, `status ${res.statusCode}`);
      this.discardBody(res);
      return;
    }
    const chunks: Buffer[] = [];
    let size = 0;
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      this.bytesWithoutBody = 0;
      const isBuffered =
        size <= MAX_BUFFERED_BYTES && chunks.length <= MAX_BUFFERED_CHUNKS;
      if (isBuffered || this.isDone) return;
      res.off('data', onData);
      res.pause();
      this.end(AttemptOutcome.Answered, '', createResponse(res, chunks, res));
    };
    res.on('data', onData);
    res.on('end', () => {
      if (!isResponseComplete(res)) {
        this.end(AttemptOutcome.Broken, 'answer truncated');
      } else {
        this.end(AttemptOutcome.Answered, '', createResponse(res, chunks));
      }
    });
    res.on('aborted', () =>
      this.end(AttemptOutcome.Broken, 'answer truncated'),
    );
  }

  /** The head of a refusal says all; its body only has to end for the connection to be kept. */
  private discardBody(res: IncomingMessage): void {
    let size = 0;
    const timeout = this.context.timers.after(MAX_REFUSAL_MS, () =>
      res.destroy(),
    );
    res.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_REFUSAL_BYTES) res.destroy();
    });
    res.once('close', () => timeout[Symbol.dispose]());
  }

  /** Finds why an answer must not reach the caller. */
  private findResponseFault(res: IncomingMessage): string | undefined {
    const {names} = this.context;
    const id = res.headers[names.requestId];
    if (id !== undefined && id !== this.request.requestId) {
      return `answer to request ${String(id)}`;
    }
    if (res.headers[names.notRun] !== undefined) return undefined;
    const status = res.statusCode ?? 0;
    if (status === 421) return undefined;
    // Each of these statuses promises that the request has not run; only the marker proves it.
    if (status === 408 || status === 429 || status === 503) {
      return `status ${status} without the not-run marker`;
    }
    if (res.headers[names.stamp] === undefined || id === undefined) {
      return `status ${status} without stamp or request id`;
    }
    if (res.headers['content-encoding'] !== undefined) {
      return 'answer with a content encoding';
    }
    return undefined;
  }

  private end(
    outcome: AttemptOutcome,
    reason: string,
    response?: EndpointResponse,
  ): void {
    if (this.isDone) return;
    this.isDone = true;
    this.timeout[Symbol.dispose]();
    this.connectTimeout?.[Symbol.dispose]();
    this.req.socket?.off('data', this.countBytes);
    const isConnectionUsable =
      response !== undefined ||
      (outcome === AttemptOutcome.Refused && this.req.writableFinished);
    if (!isConnectionUsable) this.req.destroy();
    this.resolve({
      outcome,
      response,
      reason,
      load: this.getLoad(),
      isReused: this.req.reusedSocket,
      connectMs: this.connectMs,
    });
  }

  private getLoad(): string | undefined {
    const {res} = this.req as http.ClientRequest & {res?: IncomingMessage};
    const load = res?.headers[this.context.names.load];
    return typeof load === 'string' ? load : undefined;
  }
}

function createResponse(
  res: IncomingMessage,
  chunks: Buffer[],
  bodyStream?: IncomingMessage,
): EndpointResponse {
  return {
    status: res.statusCode ?? 0,
    statusMessage: res.statusMessage ?? '',
    rawHeaders: res.rawHeaders,
    isSelfDelimited: isSelfDelimited(res),
    chunks,
    bodyStream,
  };
}

function isSelfDelimited(res: IncomingMessage): boolean {
  return (
    res.headers['content-length'] !== undefined ||
    res.headers['transfer-encoding'] !== undefined
  );
}
