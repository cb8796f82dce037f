import {STATUS_CODES} from 'node:http';
import type {Duplex} from 'node:stream';

/**
 * Writes a response without a body on a connection of which no request has arrived whole. The
 * connection has to be closed behind it.
 * @param connection - The connection.
 * @param status - The status.
 * @param retryAfterMs - Time after which the caller may retry, in milliseconds; undefined to say
 * nothing of it.
 */
export function writeStatus(
  connection: Duplex,
  status: number,
  retryAfterMs?: number,
): void {
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'Connection: close',
    'Content-Length: 0',
  ];
  if (retryAfterMs !== undefined) {
    lines.push(`Retry-After: ${(retryAfterMs / 1_000).toFixed(3)}`);
  }
  connection.write(`${lines.join('\r\n')}\r\n\r\n`);
}
