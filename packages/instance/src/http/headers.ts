import type http from 'node:http';
import {HeaderName} from '@primrosestage/common';
import {HOP_BY_HOP_HEADERS} from './hop_by_hop_headers.js';

/** Headers that every instance sets itself; received values are not forwarded. */
const RESERVED_HEADERS = new Set<string>(
  Object.values(HeaderName).filter(name => name !== HeaderName.IdempotencyKey),
);

/**
 * Copies the end-to-end headers of a message.
 * @param headers - Headers as received.
 * @returns Headers to forward, without those that each instance sets itself.
 */
export function copyEndToEndHeaders(
  headers: http.IncomingHttpHeaders,
): http.OutgoingHttpHeaders {
  const connectionNames = new Set(
    (headers.connection ?? '').split(',').map(name => name.trim()),
  );
  return Object.fromEntries(
    Object.entries(headers).filter(
      ([name]) =>
        name !== 'host' &&
        !HOP_BY_HOP_HEADERS.has(name) &&
        !RESERVED_HEADERS.has(name) &&
        !connectionNames.has(name),
    ),
  );
}

/**
 * Gets one header.
 * @param headers - Headers as received.
 * @param name - Its name.
 * @returns The first value, or undefined.
 */
export function getHeader(
  headers: http.IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
