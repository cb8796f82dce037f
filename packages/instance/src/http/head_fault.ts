import http, {type IncomingMessage} from 'node:http';
import {getErrorMessage} from '@primrosestage/common';

/** Lowest and highest status of a valid final response; Node.js parses and writes others too. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;
/** Characters that may not stand in the path of a request. */
const INVALID_PATH_CHARACTERS = /[^\u0021-\u00ff]/;

/**
 * Finds out why the head of a response must not be forwarded. Node.js reads heads that are not valid
 * or that it refuses to write, such as a status above 599 or a header without a name.
 * @param res - The response of an endpoint.
 * @returns The reason, or undefined if the head can be forwarded.
 */
export function findResponseHeadFault(
  res: Pick<IncomingMessage, 'statusCode' | 'rawHeaders'>,
): string | undefined {
  const status = res.statusCode ?? 0;
  if (status < MIN_FINAL_STATUS || status > MAX_FINAL_STATUS) {
    return `status ${status} is not a valid final one`;
  }
  return findHeaderFault(res.rawHeaders);
}

/**
 * Finds out why the head of a request cannot be written again.
 * @param req - The request of a caller.
 * @returns The reason, or undefined if the head can be forwarded.
 */
export function findRequestHeadFault(req: IncomingMessage): string | undefined {
  if (INVALID_PATH_CHARACTERS.test(req.url ?? '/')) return 'invalid path';
  return findHeaderFault(req.rawHeaders);
}

function findHeaderFault(rawHeaders: readonly string[]): string | undefined {
  try {
    for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
      const name = rawHeaders[i] ?? '';
      http.validateHeaderName(name);
      http.validateHeaderValue(name, rawHeaders[i + 1] ?? '');
    }
  } catch (err) {
    return getErrorMessage(err);
  }
  return undefined;
}
