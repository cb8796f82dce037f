import type {IncomingMessage} from 'node:http';
import type {WireNames} from '../wire_names.js';

/** Bytes of a header field beside its name and value: a colon and the end of the line. */
const FIELD_SEPARATOR_BYTES = 3;

/**
 * Returns the size of a request's header without spaces around its values, of which the parser tells
 * nothing.
 * @param req - The request.
 * @returns Bytes, including colons and line ends.
 */
export function getHeaderBytes(req: IncomingMessage): number {
  const lineBytes = (req.method?.length ?? 0) + (req.url?.length ?? 0);
  const separatorBytes = (req.rawHeaders.length / 2) * FIELD_SEPARATOR_BYTES;
  return req.rawHeaders.reduce(
    (sum, {length}) => sum + length,
    lineBytes + separatorBytes,
  );
}

/**
 * Reads the remaining time until the caller's deadline.
 * @param req - The request.
 * @param names - Header names.
 * @returns Milliseconds, or undefined if the caller states no valid deadline.
 */
export function readDeadlineMs(
  req: IncomingMessage,
  names: WireNames,
): number | undefined {
  const value = Number(req.headers[names.deadlineMs] ?? NaN);
  return Number.isFinite(value) && value >= 0 ? value : undefined;
}

/**
 * Reads the key of a request's object from its cookie.
 * @param req - The request.
 * @param names - Name of the cookie.
 */
export function readObjectKey(
  req: IncomingMessage,
  names: WireNames,
): string | undefined {
  const {cookie} = req.headers;
  if (cookie === undefined) return undefined;
  for (const pair of cookie.split(';')) {
    const equals = pair.indexOf('=');
    if (pair.slice(0, equals).trim() === names.objectCookie) {
      return pair.slice(equals + 1).trim();
    }
  }
  return undefined;
}

/**
 * Reads the key of a caller's account.
 * @param req - The request.
 * @param names - Header names.
 * @returns The key, or undefined if there is none. A repeated header gives no valid key.
 */
export function readAccountKey(
  req: IncomingMessage,
  names: WireNames,
): string | undefined {
  const value = req.headers[names.accountKey];
  return Array.isArray(value) ? value.join() : value;
}

/**
 * Gives up the header fields of a request that is refused, so that they do not stay in memory while
 * its connection is open. What the refusal depends on is kept.
 * @param req - The request.
 * @param names - Header names.
 */
export function releaseFields(req: IncomingMessage, names: WireNames): void {
  const {headers} = req;
  const kept = ['host', 'content-length', 'transfer-encoding', names.requestId];
  req.headers = Object.fromEntries(kept.map(name => [name, headers[name]]));
  req.rawHeaders.length = 0;
}
