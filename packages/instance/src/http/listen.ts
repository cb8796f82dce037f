import http from 'node:http';
import {Step, StepError} from '@primrosestage/common';
import {parseAddress} from './parse_address.js';

/** Longest request header that a listener accepts. */
const MAX_HEADER_BYTES = 16 * 1024;

/** Time for open requests to end after a listener has been closed. */
const CLOSE_TIMEOUT_MS = 500;

/** Configures a listener. */
export interface ListenOptions {
  /** `host:port` to listen on. */
  address: string;
  /** Handles a request. */
  handle: http.RequestListener;
}

/** Owns a listening server; disposal closes idle connections and waits for the rest. */
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
  return {
    server,
    [Symbol.asyncDispose]: () =>
      new Promise(resolve => {
        // A connection on which a request never became complete counts as busy.
        const timeout = setTimeout(
          () => server.closeAllConnections(),
          CLOSE_TIMEOUT_MS,
        );
        server.close(() => {
          clearTimeout(timeout);
          resolve();
        });
        server.closeIdleConnections();
      }),
  };
}
