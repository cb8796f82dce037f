import type http from 'node:http';
import type {Socket} from 'node:net';
import {EndpointStub, renderHead} from './endpoint_stub.js';
import {NAMES} from './names.js';

/** Statuses with which an endpoint refuses requests. */
export const REFUSAL_STATUSES: readonly string[] = [
  '503 Busy',
  '429 Too Many',
  '421 Misdirected',
  '400 Bad',
];

/** A response to a request that has run. */
export interface TrueAnswer {
  name: string;
  status: number;
  isChunked: boolean;
}

export const TRUE_ANSWERS: readonly TrueAnswer[] = [
  {name: '500', status: 500, isChunked: false},
  {name: '504', status: 504, isChunked: false},
  {name: '200 with a length', status: 200, isChunked: false},
  {name: '200 in chunks', status: 200, isChunked: true},
];

/** When the copy of a refusal is written. */
export enum Timing {
  OnePacket = 'in one packet with the true answer',
  Before = 'before the true answer',
  DuringBody = 'during the body of the true answer',
  AfterRefusal = 'after the refusal itself',
}

/** Time between writes that are to arrive separately, in milliseconds. */
const SEPARATION_MS = 1;
const BODY_START = 'true ';
const BODY_END = 'answer';

/** Body of each true answer. */
export const TRUE_BODY = BODY_START + BODY_END;

/** What was written and sent on one connection. */
interface ConnectionHistory {
  readonly arrived: Set<string>;
  readonly refused: Set<string>;
}

/**
 * An endpoint that writes the copy of a refusal a second time, whole or cut off, on the connection
 * on which it refused, with the id of the refused request.
 */
export class CopyingEndpoint implements AsyncDisposable {
  readonly stub: EndpointStub;
  /** Whether requests for this endpoint are refused. */
  isRefusing = false;
  /** Whether the connection is closed after the next response. */
  isClosing = false;
  /** Whether copies of refusals are written. */
  isCopying = false;
  timing = Timing.OnePacket;
  /** How many bytes of the copy are written. */
  cut = 0;
  /** Ids that arrived more than once on one connection. */
  readonly repeated: string[] = [];
  /** Ids that were refused. */
  readonly refused = new Set<string>();
  private readonly histories = new WeakMap<Socket, ConnectionHistory>();

  constructor(
    id: string,
    readonly refusalStatus: string,
    readonly answer: TrueAnswer,
  ) {
    this.stub = new EndpointStub(id);
    this.stub.handle = (req, res) => this.receive(req, res, this.isRefusing);
    this.stub.handleMisdirected = (req, res) => this.receive(req, res, true);
  }

  /**
   * Renders a refusal.
   * @param requestId - Id of the refused request.
   */
  renderRefusal(requestId: string): string {
    const head = renderHead(this.refusalStatus, {
      [NAMES.requestId]: requestId,
      [NAMES.notRun]: '1',
      'content-length': '0',
    });
    return `${head}\r\n`;
  }

  /**
   * Returns how often a request ran.
   * @param requestId - Its id.
   */
  countRuns(requestId: string): number {
    return this.stub.ran.filter(id => id === requestId).length;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.stub[Symbol.asyncDispose]();
  }

  private receive(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    isRefused: boolean,
  ): void {
    const id = String(req.headers[NAMES.requestId]);
    const {arrived, refused} = this.getHistory(req.socket);
    if (arrived.has(id)) this.repeated.push(id);
    arrived.add(id);
    res.shouldKeepAlive = !this.isClosing;
    if (isRefused) {
      refused.add(id);
      this.refused.add(id);
      this.refuse(req, res);
      return;
    }
    this.respond(req, res, refused.has(id) ? this.renderCopy(id) : '');
  }

  private renderCopy(requestId: string): string {
    return this.isCopying
      ? this.renderRefusal(requestId).slice(0, this.cut)
      : '';
  }

  private refuse(req: http.IncomingMessage, res: http.ServerResponse): void {
    const {socket} = req;
    const id = String(req.headers[NAMES.requestId]);
    const status = Number.parseInt(this.refusalStatus, 10);
    this.stub.refuse(req, res, {'content-length': '0'}, status);
    if (this.timing !== Timing.AfterRefusal) return;
    const copy = this.renderCopy(id);
    // Copies of even length arrive with the refusal, others while the connection is idle or reused.
    if (copy.length % 2 === 0) socket.write(copy);
    else setImmediate(() => socket.write(copy));
  }

  private respond(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    copy: string,
  ): void {
    const {socket} = req;
    switch (copy === '' ? Timing.AfterRefusal : this.timing) {
      case Timing.OnePacket:
        socket.cork();
        socket.write(copy);
        this.writeHead(req, res);
        res.end(TRUE_BODY);
        socket.uncork();
        break;
      case Timing.Before:
        socket.write(copy);
        setTimeout(() => {
          this.writeHead(req, res);
          res.end(TRUE_BODY);
        }, SEPARATION_MS);
        break;
      case Timing.DuringBody:
        this.writeHead(req, res);
        res.write(BODY_START);
        setTimeout(() => {
          socket.write(copy);
          res.end(BODY_END);
        }, SEPARATION_MS);
        break;
      case Timing.AfterRefusal:
        this.writeHead(req, res);
        res.end(TRUE_BODY);
        break;
    }
  }

  private writeHead(req: http.IncomingMessage, res: http.ServerResponse): void {
    const {status, isChunked} = this.answer;
    res.writeHead(status, {
      ...this.stub.getDefaultHeaders(req),
      ...(isChunked
        ? {'transfer-encoding': 'chunked'}
        : {'content-length': TRUE_BODY.length}),
    });
  }

  private getHistory(socket: Socket): ConnectionHistory {
    let history = this.histories.get(socket);
    if (!history) {
      history = {arrived: new Set(), refused: new Set()};
      this.histories.set(socket, history);
    }
    return history;
  }
}
