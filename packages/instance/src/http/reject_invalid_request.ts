import type {Duplex} from 'node:stream';
import {writeStatus} from './write_status.js';

/** Statuses by the codes of the errors that Node.js reports for the bytes of a caller. */
const STATUS_BY_CODE: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};
const MALFORMED_STATUS = 400;

/** What is known of a connection whose bytes are no request. */
export interface InvalidRequestOptions {
  /** Whether a request on the connection awaits its response. */
  hasOpenRequest: boolean;
  /** Closes the connection behind what has been written. */
  close: () => void;
}

/**
 * Responds to bytes of a caller that are no request, and closes the connection. The caller would
 * take the status for the response to a request that is open on the connection and that may run, so
 * that none is sent where there is one.
 * @param err - Why the bytes are no request.
 * @param connection - The connection.
 * @param options - Its open requests, and how it is closed.
 */
export function rejectInvalidRequest(
  {code = ''}: NodeJS.ErrnoException,
  connection: Duplex,
  {hasOpenRequest, close}: InvalidRequestOptions,
): void {
  const status =
    STATUS_BY_CODE[code] ??
    (code.startsWith('HPE_') ? MALFORMED_STATUS : undefined);
  if (status === undefined || hasOpenRequest || !connection.writable) {
    connection.destroy();
    return;
  }
  writeStatus(connection, status);
  close();
}
