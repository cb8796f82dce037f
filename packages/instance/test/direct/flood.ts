import type {Socket} from 'node:net';
import {setImmediate as nextIteration} from 'node:timers/promises';
import type {EndpointStub, StubHandler} from './endpoint_stub.js';
import {NAMES} from './names.js';

/** Approximate number of bytes per write. */
const WRITE_BYTES = 16 * 1024;

/** Configures the data with which an endpoint floods a connection. */
export interface FloodOptions {
  /** First bytes of the response, such as its status line and headers. */
  head: string;
  /** Whether the default response headers and an empty line are appended to the head. */
  hasUsualHeaders?: boolean;
  /** Whether the request id and an empty line are appended to the head. */
  hasRequestId?: boolean;
  /** Data that is repeated until the connection is closed. */
  repeated: string;
}

/** A handler that floods connections, with statistics. */
export interface Flood {
  handle: StubHandler;
  /** Number of flooded connections that were closed. */
  closed: number;
  /** Monotonic time in milliseconds at which the last of them was closed. */
  closedAt: number;
  /** Number of bytes written after the heads. */
  bytes: number;
}

/**
 * Creates a handler that sends data until the connection is closed.
 * @param options - The head and the repeated data.
 */
export function createFlood(options: FloodOptions): Flood {
  const flood: Flood = {
    closed: 0,
    closedAt: 0,
    bytes: 0,
    handle: (req, _res, stub) => {
      req.socket.once('close', () => {
        flood.closed++;
        flood.closedAt = performance.now();
      });
      void writeEndlessly(req.socket, createHead(options, req, stub), flood);
    },
  };
  const count = Math.ceil(WRITE_BYTES / options.repeated.length);
  const chunk = options.repeated.repeat(count);

  async function writeEndlessly(
    socket: Socket,
    head: string,
    to: Flood,
  ): Promise<void> {
    socket.write(head);
    while (!socket.destroyed) {
      const hasRoom = socket.write(chunk);
      to.bytes += chunk.length;
      if (!hasRoom) await awaitDrain(socket);
      await nextIteration();
    }
  }
  return flood;
}

function awaitDrain(socket: Socket): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      socket.off('drain', done);
      socket.off('close', done);
      resolve();
    };
    socket.on('drain', done);
    socket.on('close', done);
  });
}

function createHead(
  {head, hasUsualHeaders, hasRequestId}: FloodOptions,
  req: Parameters<StubHandler>[0],
  stub: EndpointStub,
): string {
  const usual = stub.getDefaultHeaders(req);
  const own = `${NAMES.requestId}: ${usual[NAMES.requestId]}\r\n\r\n`;
  if (hasRequestId) return head + own;
  if (!hasUsualHeaders) return head;
  const headers = Object.entries(usual);
  return `${head}${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
}
