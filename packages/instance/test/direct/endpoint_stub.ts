import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {WireNames} from '../../src/direct/index.js';
import {NAMES} from './names.js';

/** Handles a request to the stub in place of the default response. */
export type StubHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  stub: EndpointStub,
) => void;

/** A step of a request at the stub. */
export enum RequestStep {
  /** It arrived; also one that is meant for another endpoint. */
  Arrived = 'arrived',
  /** It began to run. A handler that refuses it at once withdraws this. */
  Started = 'started',
  /** It was refused as not run. */
  Refused = 'refused',
}

/** Observes the steps of the requests to a stub. */
export type StepObserver = (
  step: RequestStep,
  req: http.IncomingMessage,
  res: http.ServerResponse,
) => void;

/**
 * Renders the begin of a response's head, for responses that Node.js would not write.
 * @param status - Status code and reason.
 * @param headers - The headers; the empty line after the last one is left to the caller.
 */
export function renderHead(
  status: string,
  headers: Record<string, string>,
): string {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `HTTP/1.1 ${status}\r\n${lines.join('')}`;
}

/** A backend server that refuses only what it has not run, echoes request ids and reports load. */
export class EndpointStub implements AsyncDisposable {
  /** Ids of the requests that were run, in order. */
  readonly ran: string[] = [];
  /** Monotonic time in milliseconds at which each request started to run. */
  readonly ranAt: number[] = [];
  /** Ids of the requests whose connection closed before the response was sent. */
  readonly aborted: string[] = [];
  /** Value of each request's deadline header. */
  readonly deadlines: number[] = [];
  readonly bodies: string[] = [];
  handle?: StubHandler;
  /** Called at each step of each request, before its response is written. */
  observe?: StepObserver;
  /** Refuses a request for another endpoint in place of the default refusal. */
  handleMisdirected?: StubHandler;
  delayMs = 5;
  /** Returns the delay of each request in place of `delayMs`. */
  drawDelayMs?: () => number;
  /** Monotonic time in milliseconds at which each request arrived, refused ones included. */
  readonly arrivedAt: number[] = [];
  /** Value of the rate limit header; undefined for no limit. */
  limit?: string;
  private readonly server: http.Server;
  private readonly sockets = new Set<Socket>();

  constructor(
    readonly id: string,
    private readonly names: WireNames = NAMES,
  ) {
    this.server = http.createServer((req, res) => this.receive(req, res));
    // It gets all header fields of a request.
    this.server.maxHeadersCount = 0;
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

  /** Starts to listen, on a free port if none is given. */
  async start(port = 0): Promise<this> {
    await new Promise<void>(resolve => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return this;
  }

  /** Returns the headers of the default response. */
  getDefaultHeaders(req: http.IncomingMessage): Record<string, string> {
    return {
      [this.names.requestId]: String(req.headers[this.names.requestId]),
      [this.names.stamp]: `stamp-${this.id}`,
      [this.names.load]: '1,0,4',
      ...this.getLimitHeader(),
    };
  }

  /** Sends the default response. */
  respond(req: http.IncomingMessage, res: http.ServerResponse): void {
    res.writeHead(200, this.getDefaultHeaders(req));
    res.end(`answer of ${this.id}`);
  }

  /** Returns the rate limit header, which every response of a limited endpoint carries. */
  getLimitHeader(): Record<string, string> {
    const [name] = this.names.limit;
    return name === undefined || this.limit === undefined
      ? {}
      : {[name]: this.limit};
  }

  /** Refuses the request as not run, and removes it from the recorded runs. */
  refuse(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    headers: Record<string, string> = {},
    status = 503,
  ): void {
    const index = this.ran.lastIndexOf(
      String(req.headers[this.names.requestId]),
    );
    if (index >= 0) {
      this.ran.splice(index, 1);
      this.ranAt.splice(index, 1);
    }
    res.statusCode = status;
    this.observe?.(RequestStep.Refused, req, res);
    res.writeHead(status, {
      [this.names.requestId]: String(req.headers[this.names.requestId]),
      [this.names.notRun]: '1',
      ...this.getLimitHeader(),
      ...headers,
    });
    res.end();
  }

  /** Writes text on the connection from a port. */
  write(text: string, port: number | undefined): void {
    this.findSocket(port)?.write(text);
  }

  /** Ends the connection from a port. */
  end(port: number | undefined): void {
    this.findSocket(port)?.end();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => this.server.close(resolve));
  }

  private findSocket(port: number | undefined): Socket | undefined {
    return [...this.sockets].find(({remotePort}) => remotePort === port);
  }

  private receive(req: http.IncomingMessage, res: http.ServerResponse): void {
    const id = String(req.headers[this.names.requestId]);
    this.observe?.(RequestStep.Arrived, req, res);
    if (req.headers[this.names.expectedEndpoint] !== this.id) {
      if (this.handleMisdirected) {
        this.handleMisdirected(req, res, this);
        return;
      }
      res.statusCode = 421;
      this.observe?.(RequestStep.Refused, req, res);
      res.writeHead(421, {
        [this.names.requestId]: id,
        [this.names.notRun]: '1',
      });
      res.end();
      return;
    }
    const at = performance.now();
    this.arrivedAt.push(at);
    this.deadlines.push(Number(req.headers[this.names.deadlineMs]));
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => {
      this.bodies.push(Buffer.concat(chunks).toString());
      this.ran.push(id);
      this.ranAt.push(performance.now());
      this.observe?.(RequestStep.Started, req, res);
      res.on('close', () => {
        if (!res.writableFinished) this.aborted.push(id);
      });
      if (this.handle) this.handle(req, res, this);
      else {
        const delayMs = this.drawDelayMs?.() ?? this.delayMs;
        setTimeout(() => this.respond(req, res), delayMs);
      }
    });
  }
}
