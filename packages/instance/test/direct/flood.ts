import type {Socket} from 'node:net';
import {setImmediate as nextIteration} from 'node:timers/promises';
import type {EndpointStub, StubHandler} from './endpoint_stub.js';

/** Bytes that are written at once. */
const WRITE_BYTES = 16 * 1024;

/** Describes how an endpoint floods a connection. */
export interface FloodOptions {
  /** Status line and headers of the answer; the usual ones are added where it ends with a line. */
  head: string;
  /** Whether the usual headers of an answer follow on the head. */
  hasUsualHeaders?: boolean;
  /** What is repeated until the connection is closed. */
  repeated: string;
}

/** Records what a flood has sent. */
export interface Flood {
  handle: StubHandler;
  /** Connections that were closed on the endpoint. */
  closed: number;
  /** When the last of them was closed, on the monotonic clock. */
  closedAt: number;
  /** Bytes that the instance has taken. */
  bytes: number;
}

/**
 * Creates a handler that answers with bytes without end.
 * @param options - The head and what follows.
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
  {head, hasUsualHeaders}: FloodOptions,
  req: Parameters<StubHandler>[0],
  stub: EndpointStub,
): string {
  if (!hasUsualHeaders) return head;
  const headers = Object.entries(stub.headersFor(req));
  return `${head}${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
}
