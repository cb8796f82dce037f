import http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

/** Longest time that a connection to an endpoint stays open without use, in milliseconds. */
const MAX_IDLE_MS = 4_000;
/** Part of the idle time stated by an endpoint after which the connection is closed. */
const ADVERTISED_IDLE_FRACTION = 0.5;
const EMPTY_BUFFER = Buffer.alloc(0);
const KEEP_ALIVE_TIMEOUT = /(?:^|[\s,])timeout=(\d+)/i;

/**
 * Pools connections to endpoints. A connection on which bytes arrive while no request waits is
 * closed, so that they are never taken for the answer to a later request.
 */
export class EndpointAgent extends http.Agent {
  constructor() {
    super({keepAlive: true, scheduling: 'lifo', maxFreeSockets: 64});
  }

  /** Opens a connection on which a reset is told from an end. */
  override createConnection(
    ...args: Parameters<http.Agent['createConnection']>
  ): ReturnType<http.Agent['createConnection']> {
    const socket = super.createConnection(...args);
    socket?.prependListener('end', probeForReset);
    return socket;
  }

  /**
   * Decides whether a connection is kept after an answer.
   * @param socket - The connection.
   * @returns Whether it is kept.
   */
  override keepSocketAlive(socket: Socket): boolean {
    if (socket.destroyed || socket.readableEnded) return false;
    const idleMs = getIdleTimeoutMs(socket);
    if (idleMs <= 0) return false;
    socket.setTimeout(idleMs, destroySocket);
    socket.on('data', destroySocket);
    socket.unref();
    return true;
  }

  /**
   * Prepares a pooled connection for a request.
   * @param socket - The connection.
   * @param req - The request that takes it.
   */
  override reuseSocket(socket: Socket, req: http.ClientRequest): void {
    socket.setTimeout(0);
    socket.removeListener('timeout', destroySocket);
    socket.removeListener('data', destroySocket);
    super.reuseSocket(socket, req);
  }
}

/**
 * Says whether an answer was brought to its end. One without a length ends with its connection,
 * which must have been closed in order.
 * @param response - An answer that has been read.
 */
export function isResponseComplete(response: http.IncomingMessage): boolean {
  return response.complete && !response.socket?.errored;
}

/**
 * Notes a reset that libuv has taken for an end, as it does where the reset arrives right behind
 * the last bytes: writing nothing fails at once on a connection that was reset.
 */
function probeForReset(this: Duplex): void {
  if (this.writable) this.write(EMPTY_BUFFER);
}

function destroySocket(this: Socket): void {
  this.destroy();
}

/** Derives the idle time from the last answer; an endpoint may close earlier than it states. */
function getIdleTimeoutMs(socket: Socket): number {
  const {_httpMessage: req} = socket as Socket & {
    _httpMessage?: {res?: http.IncomingMessage};
  };
  const header = req?.res?.headers['keep-alive'];
  const advertised = KEEP_ALIVE_TIMEOUT.exec(String(header ?? ''))?.[1];
  if (advertised === undefined) return MAX_IDLE_MS;
  return Math.min(
    MAX_IDLE_MS,
    Number(advertised) * 1_000 * ADVERTISED_IDLE_FRACTION,
  );
}
