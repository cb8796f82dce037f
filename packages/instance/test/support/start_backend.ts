import http from 'node:http';

/** Handles a request to a fake backend server; `run` is the request's number, from 1. */
export type BackendHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  run: number,
) => void;

/** A fake backend server. */
export interface TestBackend {
  readonly address: string;
  readonly server: http.Server;
  /** Received requests, in order. */
  readonly requests: http.IncomingMessage[];
  handle: BackendHandler;
  /** Whether `/health` reports draining, with status 503. */
  isDraining: boolean;
  /** Current and highest number of requests in flight. */
  inFlight: number;
  maxInFlight: number;
  stop(): Promise<void>;
}

/** Responds with the request's number. */
export const sendRunNumber: BackendHandler = (req, res, run) => {
  req.resume();
  req.on('end', () => res.end(JSON.stringify({run})));
};

/** Starts a fake backend server. */
export async function startBackend(
  address: string,
  handle: BackendHandler = sendRunNumber,
): Promise<TestBackend> {
  const [host, port] = address.split(':');
  const server = http.createServer({keepAliveTimeout: 10_000}, (req, res) => {
    if (req.url === '/health') {
      res.writeHead(backend.isDraining ? 503 : 200);
      res.end(JSON.stringify({draining: backend.isDraining}));
      return;
    }
    if (req.url === '/load') {
      res.end(JSON.stringify({inFlight: backend.inFlight, queued: 0}));
      return;
    }
    backend.inFlight++;
    backend.maxInFlight = Math.max(backend.maxInFlight, backend.inFlight);
    res.once('close', () => backend.inFlight--);
    backend.requests.push(req);
    backend.handle(req, res, backend.requests.length);
  });
  const backend: TestBackend = {
    address,
    server,
    requests: [],
    handle,
    isDraining: false,
    inFlight: 0,
    maxInFlight: 0,
    stop: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, resolve);
  });
  return backend;
}
