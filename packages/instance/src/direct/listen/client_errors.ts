import type {Server} from 'node:http';
import type {Duplex} from 'node:stream';
import type {EventLogger} from '@primrosestage/common';
import {rejectInvalidRequest} from '../../http/reject_invalid_request.js';

const HEAD_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** The connections of callers, as far as errors of their parsers concern them. */
export interface ParsedConnections {
  /** Returns whether a connection is not read at present, so that no head can arrive whole. */
  isHeld(connection: Duplex): boolean;
  /** Stops reading from a connection; returns whether a request on it may run. */
  stopReading(connection: Duplex): boolean;
  /** Closes a connection whose caller may still be sending or reading. */
  closeLingering(connection: Duplex): void;
}

/**
 * Handles what the HTTP parser reports of callers' connections. The timeout of a head that this
 * instance itself does not read on is not its caller's.
 * @param server - The server of callers.
 * @param connections - Its connections.
 * @param logger - The log.
 */
export function handleClientErrors(
  server: Server,
  connections: ParsedConnections,
  logger: EventLogger,
): void {
  server.on('clientError', (err: NodeJS.ErrnoException, connection) => {
    const {code} = err;
    if (code === HEAD_TIMEOUT_CODE && connections.isHeld(connection)) return;
    logger.info('caller connection failed', {reason: code});
    const mayRun = connections.stopReading(connection);
    rejectInvalidRequest(err, connection, {
      hasOpenRequest: mayRun,
      close: () => connections.closeLingering(connection),
    });
  });
}
