import net from 'node:net';
import {HOST} from './fleet.js';
import {NAMES} from './names.js';

/** A response as a caller sees it on its connection. */
export interface ThrottledResponse {
  status: number;
  /** The first bytes of the response. */
  head: string;
  /** Whether the response appears complete to a caller. */
  looksComplete: boolean;
}

/**
 * Sends a request, reads the response at a limited rate and keeps only its beginning and how it
 * ended.
 * @param address - Caller address of the instance.
 * @param deadlineMs - Deadline of the request.
 */
export function fetchThrottled(
  address: string,
  deadlineMs: number,
): Promise<ThrottledResponse> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = net.connect({host, port: Number(port), allowHalfOpen: true});
    socket.write(
      `GET /page HTTP/1.1\r\nHost: ${HOST}\r\nConnection: close\r\n` +
        `${NAMES.requestId}: request-slow\r\n` +
        `${NAMES.deadlineMs}: ${deadlineMs}\r\n\r\n`,
    );
    let head = '';
    let tail = '';
    let isReset = false;
    socket.setEncoding('latin1');
    socket.on('data', (text: string) => {
      if (head === '') head = text.slice(0, 1_000);
      tail = text.slice(-7);
      socket.pause();
      setTimeout(() => socket.resume(), 1);
    });
    socket.on('error', () => (isReset = true));
    // libuv reports a reset after unread bytes as an end of stream; a write distinguishes them.
    socket.on('end', () =>
      socket.write('x', err => {
        isReset ||= err !== undefined && err !== null;
        socket.destroy();
      }),
    );
    socket.on('close', () => {
      const isChunked = /transfer-encoding: chunked/i.test(head);
      const hasEnd = !isChunked || tail.endsWith('\r\n0\r\n\r\n');
      const status = Number(head.split(' ')[1]);
      resolve({status, head, looksComplete: !isReset && hasEnd});
    });
  });
}
