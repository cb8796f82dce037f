import http from 'node:http';
import {RealTimerService, Step, StepError} from '@primrosestage/common';
import {ConnectionTracker} from './connection_tracker.js';
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
const CLOSE_IDLE_MS = KEEP_ALIVE_SECONDS * 1_000 + 500;
/** Longest wait for callers that do not stop connecting, in milliseconds. */
const ACCEPT_TIMEOUT_MS = 1_000;
/** Longest time for open requests and busy callers to end after listening has stopped. */
const CLOSE_TIMEOUT_MS = 3_000;

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
  const tracker = new ConnectionTracker(server, {
    timers: new RealTimerService(),
    quietMs: CLOSE_IDLE_MS,
    keepAliveSeconds: KEEP_ALIVE_SECONDS,
  });
  return {
    server,
    [Symbol.asyncDispose]: () => closeListener(server, tracker),
  };
}

/** Stops listening, then closes each connection once it has been quiet. */
async function closeListener(
  server: http.Server,
  tracker: ConnectionTracker,
): Promise<void> {
  tracker.startStopping();
  await tracker.stopAccepting(ACCEPT_TIMEOUT_MS);
  await tracker.closeQuietly(CLOSE_TIMEOUT_MS);
  server.closeAllConnections();
  server.close();
}
