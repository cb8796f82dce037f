import type http from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {getErrorMessage, type TimerService} from '@primrosestage/common';
import {
  AttemptOutcome,
  type AttemptResult,
  type EndpointResponse,
} from './attempt.js';
import type {DiscardedBuffers} from '../discarded_buffers.js';
import {getReceivedHeadMemory} from '../head_memory.js';
import {
  type ConnectionUse,
  type EndpointAgent,
  isResponseComplete,
} from './endpoint_agent.js';
import {
  HeadKind,
  judgeResponseHead,
  MISDIRECTED_STATUS,
} from './judge_response.js';
import {endWithBody, type RequestBody} from './request_body.js';
import type {ResponseBuffers, ResponseReservation} from './response_buffers.js';
import type {WireNames} from '../wire_names.js';

/** Largest response body that is buffered until complete, in bytes; longer ones are streamed. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Most chunks of a response that are buffered; even a small chunk has a memory overhead. */
const MAX_BUFFERED_CHUNKS = 4_096;
/** Bytes of a streamed response that are held while its caller does not read. */
const STREAMED_BYTES = 64 * 1024;
/**
 * Most bytes that may be received without any body data. Response heads, interim responses, chunk
 * sizes and trailers can otherwise be sent without end.
 */
const MAX_BYTES_WITHOUT_BODY = 128 * 1024;
/** Limits on the body of a refusal; beyond them the connection is closed. */
const MAX_REFUSAL_BYTES = 64 * 1024;
const MAX_REFUSAL_MS = 1_000;

/** Describes the HTTP request of one attempt. */
export interface AttemptRequest {
  host: string;
  port: number;
  method: string;
  path: string;
  /** Header names and values. */
  headers: http.OutgoingHttpHeaders;
  body?: RequestBody;
  requestId: string;
  /** Time after which the attempt fails without a response, in milliseconds. */
  timeoutMs: number;
  /** Time after which the attempt fails without a connection, in milliseconds. */
  connectTimeoutMs: number;
}

/** Dependencies of attempts. */
export interface AttemptContext {
  agent: EndpointAgent;
  /** Memory for the responses of all requests. */
  responseBuffers: ResponseBuffers;
  /** Buffers read from connections, which await garbage collection. */
  discardedBuffers: DiscardedBuffers;
  timers: TimerService;
  names: WireNames;
}

/** A running attempt that can be cancelled. */
export interface Attempt {
  readonly result: Promise<AttemptResult>;
  /** Returns how the attempt uses its connection; undefined without a connection. */
  getConnectionUse(): ConnectionUse | undefined;
  cancel(): void;
}

/**
 * Sends a request to an endpoint and receives its response. Only a response whose head is proven to
 * be the endpoint's response to this request is an answer or a refusal.
 * @param request - The request and its timeouts.
 * @param context - Connection pool, clock and header names.
 */
export function sendAttempt(
  request: AttemptRequest,
  context: AttemptContext,
): Attempt {
  const sender = new AttemptSender(request, context);
  return {
    result: sender.result,
    getConnectionUse: () => sender.connectionUse,
    cancel: () => sender.cancel(),
  };
}

class AttemptSender {
  readonly result: Promise<AttemptResult>;
  connectionUse?: ConnectionUse;
  private readonly req: http.ClientRequest;
  private resolve!: (result: AttemptResult) => void;
  private isDone = false;
  private isConnected = false;
  private connectMs?: number;
  private limit?: string;
  private load?: string;
  private isLeaving = false;
  private retryAfter?: string;
  private respondedAt?: number;
  private readonly startedAt: number;
  private readonly timeout: Disposable;
  private connectTimeout?: Disposable;
  private bytesWithoutBody = 0;
  private readonly reservation: ResponseReservation;
  private readonly countBytes = (chunk: Buffer): void => {
    this.bytesWithoutBody += chunk.length;
    if (this.bytesWithoutBody <= MAX_BYTES_WITHOUT_BODY) return;
    this.end(AttemptOutcome.Broken, 'too many bytes without a response body');
  };

  constructor(
    private readonly request: AttemptRequest,
    private readonly context: AttemptContext,
  ) {
    const {timers, agent} = context;
    this.startedAt = timers.now();
    this.reservation = context.responseBuffers.open();
    this.result = new Promise(resolve => {
      this.resolve = resolve;
    });
    this.req = agent.request(
      {
        host: request.host,
        port: request.port,
        method: request.method,
        path: request.path,
        headers: request.headers,
        setHost: false,
      },
      request.requestId,
    );
    this.timeout = timers.after(request.timeoutMs, () =>
      this.end(AttemptOutcome.TimedOut, 'response timeout'),
    );
    this.req.on('socket', socket => this.watchConnection(socket));
    this.req.on('error', (err: NodeJS.ErrnoException) =>
      this.end(this.getFailureOutcome(), err.code ?? err.message),
    );
    this.req.on('close', () =>
      this.end(this.getFailureOutcome(), 'connection closed'),
    );
    this.req.on('response', res => this.tryHandleResponse(res));
    endWithBody(this.req, request.body);
  }

  /** Cancels the attempt and closes its connection. */
  cancel(): void {
    this.end(AttemptOutcome.Cancelled, 'cancelled');
  }

  private watchConnection(socket: Socket): void {
    socket.on('data', this.countBytes);
    this.countRead(socket);
    const {timers, agent} = this.context;
    this.connectionUse = agent.recordUse(socket, this.request.requestId);
    if (this.connectionUse.idUses > 1) {
      this.end(AttemptOutcome.NotSent, 'connection has carried the request id');
      return;
    }
    if (!socket.connecting) {
      this.isConnected = true;
      return;
    }
    socket.once('connect', () => {
      this.isConnected = true;
      this.connectMs = timers.now() - this.startedAt;
      this.connectTimeout?.[Symbol.dispose]();
    });
    this.connectTimeout = timers.after(this.request.connectTimeoutMs, () =>
      this.end(AttemptOutcome.NotSent, 'connect timeout'),
    );
  }

  /** Counts what is read up to the end of the response, which may be streamed. */
  private countRead(socket: Socket): void {
    const count = (chunk: Buffer) =>
      this.context.discardedBuffers.add(chunk.length);
    socket.on('data', count);
    this.req.once('close', () => socket.off('data', count));
  }

  /** No bytes are sent before the connection is open, so the request cannot have run until then. */
  private getFailureOutcome(): AttemptOutcome {
    return this.isConnected ? AttemptOutcome.Broken : AttemptOutcome.NotSent;
  }

  /** An error that leaves an event handler would leave the attempt open until its timeout. */
  private tryHandleResponse(res: IncomingMessage): void {
    try {
      this.handleResponse(res);
    } catch (err) {
      this.end(AttemptOutcome.Broken, getErrorMessage(err));
    }
  }

  private handleResponse(res: IncomingMessage): void {
    const {names} = this.context;
    const {requestId} = this.request;
    const {kind, reason} = judgeResponseHead(res, requestId, names);
    res.on('error', err => this.end(AttemptOutcome.Broken, err.message));
    if (kind === HeadKind.Foreign) {
      this.end(AttemptOutcome.Foreign, reason);
      return;
    }
    this.readStatements(res);
    if (kind === HeadKind.Invalid) {
      this.end(AttemptOutcome.Broken, reason);
      return;
    }
    if (kind === HeadKind.Refusal) {
      this.end(AttemptOutcome.Refused, reason);
      this.discardBody(res);
      return;
    }
    this.receiveBody(res);
  }

  private receiveBody(res: IncomingMessage): void {
    const chunks: Buffer[] = [];
    const {reservation} = this;
    reservation.add(getReceivedHeadMemory(res.rawHeaders));
    let size = 0;
    const onData = (chunk: Buffer) => {
      if (this.isDone) return;
      chunks.push(chunk);
      size += chunk.length;
      this.bytesWithoutBody = 0;
      const isBuffered =
        size <= MAX_BUFFERED_BYTES &&
        chunks.length <= MAX_BUFFERED_CHUNKS &&
        reservation.tryAdd(chunk.length);
      if (isBuffered) return;
      reservation.add(chunk.length + STREAMED_BYTES);
      res.off('data', onData);
      res.pause();
      const response = createResponse(res, {chunks, reservation}, res);
      this.end(AttemptOutcome.Answered, '', response);
    };
    res.on('data', onData);
    res.on('end', () => {
      if (!isResponseComplete(res)) {
        this.end(AttemptOutcome.Broken, 'answer truncated');
      } else {
        const response = createResponse(res, {chunks, reservation});
        this.end(AttemptOutcome.Answered, '', response);
      }
    });
    res.on('aborted', () =>
      this.end(AttemptOutcome.Broken, 'answer truncated'),
    );
  }

  /** Reads the body of a refusal to its end, which is needed only to reuse the connection. */
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

  private end(
    outcome: AttemptOutcome,
    reason: string,
    response?: EndpointResponse,
  ): void {
    if (this.isDone) return;
    this.isDone = true;
    if (!response) this.reservation[Symbol.dispose]();
    this.timeout[Symbol.dispose]();
    this.connectTimeout?.[Symbol.dispose]();
    this.req.socket?.off('data', this.countBytes);
    if (!this.isConnectionUsable(outcome, response)) this.req.destroy();
    this.resolve({
      outcome,
      response,
      reason,
      load: this.load,
      limit: this.limit,
      isLeaving: this.isLeaving,
      retryAfter: this.retryAfter,
      respondedAt: this.respondedAt,
      connectMs: this.connectMs,
    });
  }

  /**
   * Returns whether the connection is kept after the end of the attempt. The body of a request that
   * an endpoint has answered early, and does not read, would stay in memory with its connection.
   */
  private isConnectionUsable(
    outcome: AttemptOutcome,
    response: EndpointResponse | undefined,
  ): boolean {
    if (response?.bodyStream) return true;
    const isEnded =
      response !== undefined || outcome === AttemptOutcome.Refused;
    return isEnded && this.req.writableFinished;
  }

  /** Reads what the endpoint states of itself in a response to the request. */
  private readStatements(res: IncomingMessage): void {
    // A misdirected request was refused by another endpoint than the one that was meant.
    if (res.statusCode === MISDIRECTED_STATUS) return;
    const {names, timers} = this.context;
    this.respondedAt = timers.now();
    const limitName = names.limit.find(each => res.headers[each] !== undefined);
    if (limitName !== undefined) this.limit = String(res.headers[limitName]);
    const load = res.headers[names.load];
    if (typeof load === 'string') this.load = load;
    this.isLeaving = names.leaving.some(each => res.headers[each] === '1');
    if (res.statusCode === 503) this.retryAfter = getRetryAfter(res);
  }
}

/** Node.js keeps only the first of repeated values in `headers`. */
function getRetryAfter({rawHeaders}: IncomingMessage): string | undefined {
  const values = rawHeaders.filter(
    (_, i) => i % 2 === 1 && rawHeaders[i - 1]?.toLowerCase() === 'retry-after',
  );
  return values.length === 0 ? undefined : values.join(', ');
}

function createResponse(
  res: IncomingMessage,
  received: Pick<EndpointResponse, 'chunks' | 'reservation'>,
  bodyStream?: IncomingMessage,
): EndpointResponse {
  return {
    status: res.statusCode ?? 0,
    statusMessage: res.statusMessage ?? '',
    rawHeaders: res.rawHeaders,
    ...received,
    bodyStream,
  };
}
