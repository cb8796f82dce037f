import http, {type IncomingMessage} from 'node:http';
import {getErrorMessage} from '@primrosestage/common';

/** Lowest status of a final response. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 999;

/**
 * Finds out why the head of a response cannot be written again. Node.js reads heads that it refuses
 * to write, such as a status of zeros or a header without a name.
 * @param res - The response of an endpoint.
 * @returns The reason, or undefined if the head can be forwarded.
 */
export function findHeadFault(res: IncomingMessage): string | undefined {
  const status = res.statusCode ?? 0;
  if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
    return `status ${status} is not a final one`;
  }
  const {rawHeaders} = res;
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
