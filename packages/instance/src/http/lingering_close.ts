import type http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {TimerService} from '@primrosestage/common';

/** Time for which a caller may take to read the last response and close, in milliseconds. */
const DEFAULT_LINGER_MS = 2_000;

/**
 * Most bytes that are read and dropped on a connection that is being closed. A caller that sends more
 * is not read on.
 */
export const MAX_DROPPED_BYTES = 256 * 1024;

/** Matches a `connection` header that asks for the end of the connection. */
const CLOSE_OPTION = /(?:^|,)\s*close\s*(?:,|$)/i;

/** Configures the closing of a connection. */
export interface LingeringCloseOptions {
  timers: TimerService;
  /** Longest wait for the caller to close its side, in milliseconds. */
  timeoutMs: number;
}

/**
 * Closes a connection in two steps (RFC 9112, section 9.6): the end of the connection is sent behind
 * what has been written, and the connection is closed once the caller has closed its side too. The
 * kernel answers bytes of a caller that arrive later than that with a reset, which takes from the
 * caller what it has not read yet. What arrives meanwhile has to be read and dropped.
 * @param connection - The connection, whose data somebody else reads and drops.
 * @param options - Clock and longest wait.
 */
export function startLingering(
  connection: Duplex,
  {timers, timeoutMs}: LingeringCloseOptions,
): void {
  // Node.js closes a connection of which both sides have ended.
  connection.end();
  const timeout = timers.after(timeoutMs, () => connection.destroy());
  connection.once('close', () => timeout[Symbol.dispose]());
}

/** Closes a connection in two steps; does nothing if it is being closed already. */
export type CloseConnection = (connection: Duplex) => void;

/**
 * Makes a server close its connections in two steps where Node.js closes them at once: behind a
 * response that closes its connection, and after the idle timeout.
 * @param server - The server.
 * @param timers - The clock.
 * @returns Closes another connection of the server in the same way.
 */
export function useLingeringClose(
  server: http.Server,
  timers: TimerService,
): CloseConnection {
  const ending = new WeakSet<Duplex>();
  const close = (connection: Duplex) => {
    if (ending.has(connection)) return;
    ending.add(connection);
    dropInput(connection);
    startLingering(connection, {timers, timeoutMs: DEFAULT_LINGER_MS});
  };
  const requests = new WeakMap<Duplex, http.IncomingMessage>();
  server.on('request', req => requests.set(req.socket, req));
  server.on('connection', (socket: Socket) => {
    const closeAtOnce = socket.destroySoon.bind(socket);
    socket.destroySoon = () => {
      const last = requests.get(socket);
      if (last && isLastRequest(last)) closeAtOnce();
      else close(socket);
    };
  });
  server.on('timeout', close);
  return close;
}

/**
 * Returns whether a caller sends nothing behind a request that has arrived: it has asked for the end
 * of the connection.
 */
function isLastRequest({complete, headers}: http.IncomingMessage): boolean {
  return complete && CLOSE_OPTION.test(headers.connection ?? '');
}

/** Takes the place of the parser as the reader of a connection. */
function dropInput(connection: Duplex): void {
  let droppedBytes = 0;
  connection.removeAllListeners('data');
  connection.on('data', (chunk: Buffer) => {
    droppedBytes += chunk.length;
    if (droppedBytes > MAX_DROPPED_BYTES) connection.pause();
  });
  connection.resume();
}
