import type {IncomingMessage} from 'node:http';
import {findResponseHeadFault} from '../../http/head_fault.js';
import {findMergedHeadFault} from '../../http/merged_head.js';
import type {WireNames} from '../wire_names.js';

/** What the head of a response is to the request that was sent last on its connection. */
export enum HeadKind {
  /** The endpoint's response to the request, which has run. */
  Answer = 'answer',
  /** The endpoint's statement that it has not run the request and will not run it. */
  Refusal = 'refusal',
  /** A response to another request, or parts of one; it proves nothing about this request. */
  Foreign = 'foreign',
  /** A response to the request that must not be forwarded; the request may have run. */
  Invalid = 'invalid',
}

/** Judgement of the head of a response. */
export interface HeadJudgement {
  readonly kind: HeadKind;
  /** What decided it. */
  readonly reason: string;
}

/** The parts of a response that are judged. */
export type ResponseHead = Pick<
  IncomingMessage,
  'statusCode' | 'statusMessage' | 'headers' | 'rawHeaders'
>;

/** Lowest status of a refusal. */
const MIN_REFUSAL_STATUS = 400;
/** Status by which an endpoint refuses a request for another endpoint, also without the marker. */
export const MISDIRECTED_STATUS = 421;
/** Statuses that suggest that the request has not run, which only the not-run marker proves. */
const UNPROVEN_REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);

/**
 * Judges the head of a response as a whole, before any part of it is used. Only a head that shows
 * no sign of a second response, carries the id of the request and does not contradict itself is an
 * answer or a refusal.
 * @param head - The head, as parsed by Node.js.
 * @param requestId - Id of the request.
 * @param names - Header names.
 */
export function judgeResponseHead(
  head: ResponseHead,
  requestId: string,
  names: WireNames,
): HeadJudgement {
  const merged = findMergedHeadFault(head, getSingleHeaders(names));
  if (merged !== undefined) return foreign(merged);
  const id = head.headers[names.requestId];
  if (id === undefined) return foreign('response without a request id');
  if (id !== requestId) return foreign(`response to request ${String(id)}`);
  const unwritable = findResponseHeadFault(head);
  if (unwritable !== undefined) return invalid(unwritable);
  return judgeOwnHead(head, names);
}

/** Judges a head that carries the id of the request. */
function judgeOwnHead(
  {statusCode = 0, headers}: ResponseHead,
  names: WireNames,
): HeadJudgement {
  const hasStamp = headers[names.stamp] !== undefined;
  const isMarked = headers[names.notRun] !== undefined;
  if (isMarked || statusCode === MISDIRECTED_STATUS) {
    if (hasStamp) return foreign('refusal with the stamp of an answer');
    if (statusCode < MIN_REFUSAL_STATUS) {
      return foreign(`status ${statusCode} with the not-run marker`);
    }
    return {kind: HeadKind.Refusal, reason: `status ${statusCode}`};
  }
  if (UNPROVEN_REFUSAL_STATUSES.has(statusCode)) {
    return invalid(`status ${statusCode} without the not-run marker`);
  }
  if (!hasStamp) return invalid(`status ${statusCode} without the stamp`);
  if (headers['content-encoding'] !== undefined) {
    return invalid('response has a content encoding');
  }
  return {kind: HeadKind.Answer, reason: ''};
}

const singleHeadersByNames = new WeakMap<WireNames, ReadonlySet<string>>();

function getSingleHeaders(names: WireNames): ReadonlySet<string> {
  let headers = singleHeadersByNames.get(names);
  if (!headers) {
    headers = new Set([
      names.requestId,
      names.stamp,
      names.notRun,
      names.load,
      ...names.limit,
    ]);
    singleHeadersByNames.set(names, headers);
  }
  return headers;
}

function foreign(reason: string): HeadJudgement {
  return {kind: HeadKind.Foreign, reason};
}

function invalid(reason: string): HeadJudgement {
  return {kind: HeadKind.Invalid, reason};
}
