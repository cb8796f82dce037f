import type http from 'node:http';
import type {Socket} from 'node:net';
import {once} from 'node:events';
import {
  getErrorMessage,
  HeaderName,
  type Step,
  StepError,
  type TimerService,
} from '@primrosestage/common';
import {
  findMergedHeadFault,
  findResponseHeadFault,
  getHeader,
} from '../http/index.js';
import type {CarriedRequests} from './carried_requests.js';
import type {PeerRequest} from './peer_request.js';

/** Headers of this system that occur once in a response. */
const SINGLE_HEADERS: ReadonlySet<string> = new Set([
  HeaderName.FreeSlots,
  HeaderName.OriginalStatus,
  HeaderName.Outcome,
  HeaderName.Peer,
  HeaderName.RequestId,
  HeaderName.Step,
]);

/** Identifies why an exchange failed before or during its answer. */
export enum FailureKind {
  /** No connection could be opened; nothing was written. */
  Connect = 'connect',
  /** The peer made no progress within the timeout. */
  Silent = 'silent',
  Deadline = 'deadline',
  /** The request was cancelled. */
  Cancelled = 'cancelled',
  /** The body of the request could not be read. */
  Body = 'body',
  /** The connection was closed or reset before the end of the answer. */
  Broken = 'broken',
  /** The answer is invalid: its syntax, a head that cannot be forwarded, no length, or another request's id. */
  Malformed = 'malformed',
  /** The connection must not carry the request; nothing was written. */
  UnsuitableConnection = 'unsuitable-connection',
}

/** Describes why an exchange failed and whether the peer may have run the request. */
export class ExchangeError extends StepError {
  constructor(
    options: {step: Step; peer: string; cause?: unknown},
    readonly kind: FailureKind,
    /** False if no connection to the peer was established. */
    readonly mayHaveRun: boolean,
    /** Whether the connection had already been used for an earlier request. */
    readonly isReused: boolean,
    message: string,
  ) {
    super(options, message);
  }
}

/** Holds the answer of an exchange or its failure. */
export type ExchangeResult =
  | {
      readonly res: http.IncomingMessage;
      /** Reads the body; throws an ExchangeError if it is incomplete. */
      readonly chunks: AsyncIterable<Buffer>;
      /** Whether the connection had already been used for an earlier request. */
      readonly isReused: boolean;
      cancel(): void;
      readonly err?: undefined;
    }
  | {readonly res?: undefined; readonly err: ExchangeError};

/** Configures one exchange. */
export interface ExchangeOptions {
  step: Step;
  peer: string;
  timers: TimerService;
  progressTimeoutMs: number;
  connectTimeoutMs: number;
  /** Records the requests that connections have carried. */
  carried: CarriedRequests;
}

/** Sends one request over a pooled connection and receives its answer. */
export class Exchange {
  /** Resolves when the exchange has ended and its connection is idle or closed. */
  readonly ended: Promise<void>;
  private isConnected = false;
  /** Whether the connection had already been used for an earlier request. */
  private isReused = false;
  /** Whether this side waits for the source of the request body. */
  private isAwaitingRequestBody = false;
  /** Whether the reader of the answer is not waiting for data. */
  private isReaderPaused = false;
  private lastProgressAt: number;
  private failure?: ExchangeError;
  private readonly deadline: AsyncDisposable;

  constructor(
    private readonly req: http.ClientRequest,
    private readonly request: PeerRequest,
    private readonly options: ExchangeOptions,
  ) {
    const {timers} = options;
    this.lastProgressAt = timers.now();
    this.deadline = timers.after(
      Math.max(0, request.deadlineAt - timers.now()),
      () => this.fail(FailureKind.Deadline, 'the deadline passed'),
    );
    const onAbort = () => this.fail(FailureKind.Cancelled, 'cancelled');
    request.signal.addEventListener('abort', onAbort, {once: true});
    this.ended = once(req, 'close').then(
      () => this.cleanUp(onAbort),
      () => this.cleanUp(onAbort),
    );
    if (request.signal.aborted) onAbort();
  }

  /** Sends the request and waits for the headers of the answer. */
  async run(): Promise<ExchangeResult> {
    const {req} = this;
    req.on('socket', socket => this.handleConnection(socket));
    req.on('information', () => this.recordProgress());
    let hasResponse = false;
    const head = new Promise<ExchangeResult>(resolve => {
      req.on('error', err => resolve({err: this.toExchangeError(err)}));
      req.on('close', () => {
        if (!hasResponse)
          resolve({err: this.toExchangeError('connection closed')});
      });
      req.on('response', res => {
        hasResponse = true;
        this.recordProgress();
        resolve(this.handleResponse(res));
      });
    });
    return head;
  }

  /**
   * Returns whether the peer has made no progress within the timeout.
   * @param now - Monotonic time in milliseconds.
   */
  isSilent(now: number): boolean {
    if (this.isAwaitingRequestBody || this.isReaderPaused || this.failure)
      return false;
    const limitMs = this.isConnected
      ? this.options.progressTimeoutMs
      : Math.min(this.options.connectTimeoutMs, this.options.progressTimeoutMs);
    return now - this.lastProgressAt >= limitMs;
  }

  /** Fails the exchange because the peer made no progress. */
  failSilent(): void {
    if (!this.isConnected) {
      this.fail(FailureKind.Connect, 'the connection was not opened in time');
      return;
    }
    this.fail(
      FailureKind.Silent,
      `no progress for ${this.options.progressTimeoutMs} ms`,
    );
  }

  /**
   * Begins to write on the connection that the agent has chosen, unless it must not carry the
   * request. The agent gives a connection directly to a request that waits for one, so that only
   * the exchange sees each connection before it is written to.
   */
  private handleConnection(socket: Socket): void {
    const {carried} = this.options;
    this.isReused = carried.isUsed(socket);
    if (!carried.tryAdd(socket, this.request.requestId)) {
      this.fail(
        FailureKind.UnsuitableConnection,
        'the connection must not carry the request',
      );
      return;
    }
    this.recordProgress();
    if (socket.connecting) {
      socket.once('connect', () => {
        this.isConnected = true;
        this.recordProgress();
      });
    } else this.isConnected = true;
    void this.writeBody();
  }

  private handleResponse(res: http.IncomingMessage): ExchangeResult {
    const fault = this.findResponseFault(res);
    // Failures reach the reader; without a listener, one before the first read would be uncaught.
    res.on('error', () => {});
    if (fault !== undefined) {
      this.fail(FailureKind.Malformed, fault);
      return {err: this.toExchangeError(fault)};
    }
    this.isReaderPaused = true;
    return {
      res,
      chunks: this.readAnswer(res),
      isReused: this.isReused,
      cancel: () => this.fail(FailureKind.Cancelled, 'cancelled'),
    };
  }

  /** Returns why an answer is invalid: its head, its request id, or its undefined length. */
  private findResponseFault(res: http.IncomingMessage): string | undefined {
    const headFault = findResponseHeadFault(res);
    if (headFault !== undefined) return headFault;
    const merged = findMergedHeadFault(res, SINGLE_HEADERS);
    if (merged !== undefined) return merged;
    const id = getHeader(res.headers, HeaderName.RequestId);
    const expected = this.request.requestId;
    if (id !== undefined && expected !== undefined && id !== expected) {
      return `the answer has the id of another request: ${id}`;
    }
    const status = res.statusCode ?? 0;
    const hasBody =
      this.request.method !== 'HEAD' && status !== 204 && status !== 304;
    const isChunked = /(^|,)\s*chunked\s*$/i.test(
      res.headers['transfer-encoding'] ?? '',
    );
    if (hasBody && !isChunked && res.headers['content-length'] === undefined) {
      return 'the answer has neither content-length nor chunked encoding';
    }
    return undefined;
  }

  private async *readAnswer(res: http.IncomingMessage): AsyncGenerator<Buffer> {
    const chunks = res[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
    let isComplete = false;
    try {
      for (;;) {
        this.recordProgress();
        this.isReaderPaused = false;
        const {value, done} = await chunks.next();
        this.isReaderPaused = true;
        if (done) break;
        yield value;
      }
      isComplete = res.complete;
      if (!isComplete) throw this.toExchangeError('truncated');
    } catch (err) {
      throw this.failure ?? this.toExchangeError(err);
    } finally {
      // If the answer ended before the request body was sent, the connection cannot be reused.
      if (!isComplete || !this.req.writableFinished) this.req.destroy();
    }
  }

  private async writeBody(): Promise<void> {
    const {req} = this;
    try {
      const {bytes} = this.request.body;
      if (bytes) {
        req.end(bytes, () => this.recordProgress());
        return;
      }
      this.isAwaitingRequestBody = true;
      for await (const chunk of this.request.body.read()) {
        this.recordProgress();
        this.isAwaitingRequestBody = false;
        if (!req.write(chunk, () => this.recordProgress()))
          await waitForDrain(req);
        if (req.destroyed) return;
        this.isAwaitingRequestBody = true;
      }
      this.isAwaitingRequestBody = false;
      this.recordProgress();
      req.end(() => this.recordProgress());
    } catch (err) {
      this.fail(FailureKind.Body, getErrorMessage(err), err);
    }
  }

  private recordProgress(): void {
    this.lastProgressAt = this.options.timers.now();
  }

  private fail(kind: FailureKind, message: string, cause?: unknown): void {
    if (this.failure || this.req.destroyed) return;
    this.failure = this.createError(kind, message, cause);
    this.req.destroy(this.failure);
  }

  private toExchangeError(err: unknown): ExchangeError {
    if (this.failure) return this.failure;
    const code = (err as NodeJS.ErrnoException).code ?? '';
    const kind = !this.isConnected
      ? FailureKind.Connect
      : code.startsWith('HPE_')
        ? FailureKind.Malformed
        : FailureKind.Broken;
    this.failure = this.createError(kind, getErrorMessage(err), err);
    return this.failure;
  }

  private createError(
    kind: FailureKind,
    message: string,
    cause?: unknown,
  ): ExchangeError {
    const {step, peer} = this.options;
    return new ExchangeError(
      {step, peer, cause},
      kind,
      this.isConnected,
      this.isReused,
      `${kind}: ${peer}: ${message}`,
    );
  }

  private cleanUp(onAbort: () => void): void {
    this.request.signal.removeEventListener('abort', onAbort);
    void this.deadline[Symbol.asyncDispose]();
  }
}

/** Waits until the write buffer of a request has drained or the request is closed. */
async function waitForDrain(req: http.ClientRequest): Promise<void> {
  await new Promise<void>(resolve => {
    const finish = () => {
      req.off('drain', finish);
      req.off('close', finish);
      resolve();
    };
    req.on('drain', finish);
    req.on('close', finish);
  });
}
