import {HeaderName, Outcome} from '@primrosestage/common';
import {getHeader} from '../http/index.js';
import type {ExchangeResult} from './exchange.js';

/**
 * Returns whether a response proves that its request was not run. On a connection that has carried
 * earlier requests, a refusal without an id may be one of theirs.
 * @param result - The response; one with the id of another request has already failed.
 */
export function isProvenNotRun({
  res: {headers},
  isReused,
}: ExchangeResult & {err?: undefined}): boolean {
  if (getHeader(headers, HeaderName.Outcome) !== Outcome.NotRun) return false;
  return !isReused || getHeader(headers, HeaderName.RequestId) !== undefined;
}
