import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {NAMES} from './names.js';

/** Handles a request of the stub in place of its usual answer. */
export type StubHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  stub: EndpointStub,
) => void;

/** A backend server that refuses truthfully, echoes request ids and reports its load. */
export class EndpointStub implements AsyncDisposable {
  /** Ids of the requests that ran, in order. */
  readonly ran: string[] = [];
  /** Ids of the requests whose connection closed before they were answered. */
  readonly cut: string[] = [];
  /** Deadline header of each request. */
  readonly deadlines: number[] = [];
  readonly bodies: string[] = [];
  handle?: StubHandler;
  delayMs = 5;
  private readonly server: http.Server;
  private readonly sockets = new Set<Socket>();

  constructor(readonly id: string) {
    this.server = http.createServer((req, res) => this.receive(req, res));
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** The number of open connections. */
  get connections(): number {
    return this.sockets.size;
  }

  async start(): Promise<this> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  /** Headers of a usual answer. */
  headersFor(req: http.IncomingMessage): Record<string, string> {
    return {
      [NAMES.requestId]: String(req.headers[NAMES.requestId]),
      [NAMES.stamp]: `stamp-${this.id}`,
      [NAMES.load]: '1,0,4',
    };
  }

  /** Answers as usual. */
  answer(req: http.IncomingMessage, res: http.ServerResponse): void {
    res.writeHead(200, this.headersFor(req));
    res.end(`answer of ${this.id}`);
  }

  /** States that the request has not run. */
  refuse(req: http.IncomingMessage, res: http.ServerResponse): void {
    res.writeHead(503, {
      [NAMES.requestId]: String(req.headers[NAMES.requestId]),
      [NAMES.notRun]: '1',
    });
    res.end();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => this.server.close(resolve));
  }

  private receive(req: http.IncomingMessage, res: http.ServerResponse): void {
    const id = String(req.headers[NAMES.requestId]);
    if (req.headers[NAMES.expectedEndpoint] !== this.id) {
      res.writeHead(421, {[NAMES.notRun]: '1'}).end();
      return;
    }
    this.deadlines.push(Number(req.headers[NAMES.deadlineMs]));
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => {
      this.bodies.push(Buffer.concat(chunks).toString());
      this.ran.push(id);
      res.on('close', () => {
        if (!res.writableFinished) this.cut.push(id);
      });
      if (this.handle) this.handle(req, res, this);
      else setTimeout(() => this.answer(req, res), this.delayMs);
    });
  }
}
