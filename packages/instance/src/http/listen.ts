import type http from 'node:http';
import {
  createHttpServer,
  RealTimerService,
  Step,
  StepError,
} from '@primrosestage/common';
import {ConnectionTracker} from './connection_tracker.js';
import {parseAddress} from './parse_address.js';
import {useLingeringClose} from './lingering_close.js';
import {rejectInvalidRequest} from './reject_invalid_request.js';

/** Maximum size of the request headers that a listener accepts. */
const MAX_HEADER_BYTES = 16 * 1024;

/**
 * Keep-alive timeout that is sent to callers, in seconds. It is shorter than the drain notice of a
 * graceful shutdown, so that callers that honor it close their idle connections before the instance
 * does. A request in transit while the instance closes its connection would be lost.
 */
const KEEP_ALIVE_SECONDS = 2;

/**
 * Idle time after which a connection is closed during shutdown, in milliseconds. It is longer than
 * the keep-alive timeout, so that a caller that honors the timeout never sends a request on a
 * connection that is being closed. Busy callers get `connection: close` with their next answer.
 */
const CLOSE_IDLE_MS = KEEP_ALIVE_SECONDS * 1_000 + 500;
/** Maximum time to keep listening if callers continue to connect, in milliseconds. */
const ACCEPT_TIMEOUT_MS = 1_000;
/**
 * Maximum time after the end of listening for open requests to end and connections to become idle,
 * in milliseconds.
 */
const CLOSE_TIMEOUT_MS = 3_000;

/** Configures a listener. */
export interface ListenOptions {
  /** `host:port` to listen on. */
  address: string;
  /** Handles a request. */
  handle: http.RequestListener;
}

/** Owns a listening server; disposal waits for open requests and closes idle connections. */
export interface Listener extends AsyncDisposable {
  readonly server: http.Server;
}

/**
 * Starts an HTTP listener.
 * @param options - Address and handler.
 * @returns The listener.
 * @throws StepError if the address cannot be bound.
 */
export async function listen(options: ListenOptions): Promise<Listener> {
  const {host, port} = parseAddress(options.address);
  const server = createHttpServer(
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
  const timers = new RealTimerService();
  const close = useLingeringClose(server, timers);
  const tracker = new ConnectionTracker(server, {
    timers,
    closeIdleMs: CLOSE_IDLE_MS,
    keepAliveSeconds: KEEP_ALIVE_SECONDS,
    close,
  });
  server.on('clientError', (err, connection) =>
    rejectInvalidRequest(err, connection, {
      hasOpenRequest: tracker.isInUse(connection),
      close: () => close(connection),
    }),
  );
  return {
    server,
    [Symbol.asyncDispose]: () => closeListener(server, tracker),
  };
}

/** Stops listening, then closes each connection once it has been idle long enough. */
async function closeListener(
  server: http.Server,
  tracker: ConnectionTracker,
): Promise<void> {
  tracker.startDraining();
  await tracker.stopAccepting(ACCEPT_TIMEOUT_MS);
  await tracker.closeWhenIdle(CLOSE_TIMEOUT_MS);
  server.closeAllConnections();
  server.close();
}
