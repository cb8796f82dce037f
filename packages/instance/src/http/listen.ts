import http from 'node:http';
import net, {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Step, StepError} from '@primrosestage/common';
import {parseAddress} from './parse_address.js';

/** Longest request header that a listener accepts. */
const MAX_HEADER_BYTES = 16 * 1024;

/**
 * Idle time that callers are told to keep a connection for, in seconds. It is shorter than the
 * notice of a planned stop, so that callers that follow it have closed their idle connections
 * before the instance does; a request that crosses the close would be lost.
 */
const KEEP_ALIVE_SECONDS = 2;

/**
 * Time without a request after which a connection is closed at the end. It is longer than
 * callers keep idle connections, so that a caller that follows the hint never sends a request
 * that crosses the close; one that is busy is told to close the connection with its next answer.
 */
const QUIET_MS = KEEP_ALIVE_SECONDS * 1_000 + 500;
/** Longest time for open requests and busy callers to end after listening has stopped. */
const CLOSE_TIMEOUT_MS = 3_000;
const CLOSE_CHECK_MS = 50;

/** Configures a listener. */
export interface ListenOptions {
  /** `host:port` to listen on. */
  address: string;
  /** Handles a request. */
  handle: http.RequestListener;
}

/** Owns a listening server; disposal waits for open requests and closes quiet connections. */
export interface Listener extends AsyncDisposable {
  readonly server: http.Server;
}

/**
 * Starts an HTTP listener.
 * @param options - Address and handler.
 * @returns The listener.
 * @throws StepError when the address cannot be bound.
 */
export async function listen(options: ListenOptions): Promise<Listener> {
  const {host, port} = parseAddress(options.address);
  const server = http.createServer(
    {maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: 30_000},
    options.handle,
  );
  await new Promise<void>((resolve, reject) => {
    server.once('error', err =>
      reject(
        new StepError(
          {step: Step.Settings, peer: options.address, cause: err},
          `cannot listen on ${options.address}`,
        ),
      ),
    );
    server.listen(port, host, resolve);
  });
  const connections = trackConnections(server);
  return {
    server,
    [Symbol.asyncDispose]: () => closeListener(server, connections),
  };
}

interface ConnectionUse {
  openRequests: number;
  usedAt: number;
}

function trackConnections(server: http.Server): Map<Socket, ConnectionUse> {
  const connections = new Map<Socket, ConnectionUse>();
  server.on('connection', (socket: Socket) => {
    connections.set(socket, {openRequests: 0, usedAt: performance.now()});
    socket.once('close', () => connections.delete(socket));
  });
  server.prependListener('request', (req, res) => {
    const use = connections.get(req.socket);
    if (!use) return;
    use.openRequests++;
    if (!server.listening) res.setHeader('connection', 'close');
    else res.setHeader('keep-alive', `timeout=${KEEP_ALIVE_SECONDS}`);
    res.once('close', () => {
      use.openRequests--;
      use.usedAt = performance.now();
    });
  });
  return connections;
}

/** Stops listening, then closes each connection once it has been quiet. */
async function closeListener(
  server: http.Server,
  connections: Map<Socket, ConnectionUse>,
): Promise<void> {
  // The kernel resets connections that wait to be accepted. An immediate runs right after the
  // event loop has accepted all of them, so that hardly any is left.
  await new Promise(resolve => setImmediate(resolve));
  // The close of http.Server would end idle connections at once.
  net.Server.prototype.close.call(server);
  const endAt = performance.now() + CLOSE_TIMEOUT_MS;
  while (connections.size > 0 && performance.now() < endAt) {
    const quietSince = performance.now() - QUIET_MS;
    for (const [socket, {openRequests, usedAt}] of connections) {
      if (openRequests === 0 && usedAt <= quietSince) socket.destroy();
    }
    await sleep(CLOSE_CHECK_MS);
  }
  server.closeAllConnections();
  server.close();
}
