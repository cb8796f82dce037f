import http from 'node:http';

/** Configures a backend server stand-in. */
export interface BackendServerOptions {
  host: string;
  port: number;
  endpointId: string;
  /** Time that a request takes, in milliseconds. */
  serviceMs: number;
}

/**
 * Starts a stand-in for a backend server.
 * @param options - Address, identity and service time.
 * @returns The running server.
 */
export async function startBackendServer(
  options: BackendServerOptions,
): Promise<AsyncDisposable> {
  let inFlight = 0;
  const server = http.createServer((req, res) => {
    if (req.url === '/health') return void res.end('{"healthy":true}');
    if (req.url === '/load') return void res.end(JSON.stringify({inFlight}));
    inFlight++;
    req.resume();
    req.on('end', () => {
      setTimeout(() => {
        inFlight--;
        const body = JSON.stringify({
          endpoint: options.endpointId,
          path: req.url,
        });
        res.writeHead(200, {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        });
        res.end(body);
      }, options.serviceMs);
    });
  });
  await new Promise<void>(resolve =>
    server.listen(options.port, options.host, resolve),
  );
  return {
    [Symbol.asyncDispose]: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
