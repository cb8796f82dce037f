import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {getErrorMessage, HeaderName} from '@primrosestage/common';
import {createBody} from '../backend/create_body.js';
import {AttemptResult, getRequestId} from '../history/records.js';

/** Time after the deadline in which an answer is still accepted. */
const DEADLINE_GRACE_MS = 1_000;

/** Describes one attempt of a caller. */
export interface AttemptOptions {
  agent: http.Agent;
  /** Source address of the caller. */
  localAddress: string;
  /** URL of the service at an instance, from a lookup answer. */
  url: string;
  id: string;
  isIdempotent: boolean;
  key: string;
  /** Value of `primrose-attempt`. */
  attempt: number;
  deadlineMs: number;
  /** Size of the download in bytes; 0 requests a short JSON answer. */
  sizeBytes: number;
  /** Pause after each chunk of a download, in milliseconds. */
  readPauseMs: number;
}

/** Outcome of an attempt as the caller observed it. */
export interface AttemptOutcome {
  result: AttemptResult;
  status: number;
  step: string;
  peer: string;
  detail: string;
}

/**
 * Sends one attempt and classifies the response.
 * @param options - Caller, instance and request.
 * @returns The classified result; the promise is never rejected.
 */
export async function sendAttempt(
  options: AttemptOptions,
): Promise<AttemptOutcome> {
  const {id, key, sizeBytes} = options;
  const query = sizeBytes > 0 ? `?bytes=${sizeBytes}` : '';
  const timeoutMs = options.deadlineMs + DEADLINE_GRACE_MS;
  // A retry with the same key must be the same request, so only the header identifies the attempt.
  const path = options.isIdempotent ? id : getRequestId(id);
  const req = http.request(`${options.url}/run/${path}${query}`, {
    agent: options.agent,
    localAddress: options.localAddress,
    method: options.isIdempotent ? 'GET' : 'POST',
    signal: AbortSignal.timeout(timeoutMs),
    headers: {
      [HeaderName.RequestId]: id,
      [HeaderName.DeadlineMs]: String(options.deadlineMs),
      [HeaderName.Attempt]: String(options.attempt),
      ...(key ? {[HeaderName.IdempotencyKey]: key} : {}),
    },
  });
  let isConnected = false;
  req.once('socket', socket => {
    if (!socket.connecting) isConnected = true;
    else socket.once('connect', () => (isConnected = true));
  });
  let res: http.IncomingMessage;
  try {
    res = await new Promise((resolve, reject) => {
      req.once('response', resolve).on('error', reject).end();
    });
  } catch (err) {
    const result = isConnected
      ? AttemptResult.Unknown
      : AttemptResult.Unreachable;
    const detail = `no answer: ${getErrorMessage(err)}`;
    return {result, status: 0, step: '', peer: '', detail};
  }
  return readAnswer(res, options);
}

async function readAnswer(
  res: http.IncomingMessage,
  options: AttemptOptions,
): Promise<AttemptOutcome> {
  const status = res.statusCode ?? 0;
  const getHeader = (name: HeaderName) => String(res.headers[name] ?? '');
  const outcome = getHeader(HeaderName.Outcome);
  const step = getHeader(HeaderName.Step);
  const peer = getHeader(HeaderName.Peer);
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of res) {
      chunks.push(chunk as Buffer);
      if (options.readPauseMs > 0) await sleep(options.readPauseMs);
    }
  } catch (err) {
    const detail = `body ended early: ${getErrorMessage(err)}`;
    const isAnswer = status === 200 || outcome === 'answered';
    const result = isAnswer ? AttemptResult.Truncated : AttemptResult.Unknown;
    return {result, status, step, peer, detail};
  }
  const body = Buffer.concat(chunks);
  const detail = status === 200 ? '' : body.toString('utf8').slice(0, 200);
  return {
    ...classify(status, outcome, body, options),
    status,
    step,
    peer,
    ...(detail ? {detail} : {}),
  };
}

function classify(
  status: number,
  outcome: string,
  body: Buffer,
  options: AttemptOptions,
): {result: AttemptResult; detail: string} {
  if (status === 503 && outcome === 'not-run') {
    return {result: AttemptResult.NotRun, detail: ''};
  }
  if ((status === 502 || status === 504) && outcome === 'unknown') {
    return {result: AttemptResult.Unknown, detail: ''};
  }
  // The answer to an earlier attempt was too large to be stored.
  if (status === 410 && outcome === 'answered') {
    return {result: AttemptResult.Answered, detail: ''};
  }
  if (status !== 200) {
    return {result: AttemptResult.Wrong, detail: `status ${status}`};
  }
  const bodyError = findBodyError(body, options);
  return bodyError
    ? {result: AttemptResult.Wrong, detail: bodyError}
    : {result: AttemptResult.Answered, detail: ''};
}

function findBodyError(
  body: Buffer,
  {id, sizeBytes}: AttemptOptions,
): string | undefined {
  if (sizeBytes > 0) {
    if (body.length !== sizeBytes) {
      return `clean end after ${body.length} of ${sizeBytes} bytes`;
    }
    return body.equals(createBody(id, sizeBytes))
      ? undefined
      : 'body of another request';
  }
  try {
    const answeredId = String(
      (JSON.parse(body.toString('utf8')) as {id: string}).id,
    );
    return getRequestId(answeredId) === getRequestId(id)
      ? undefined
      : `answer of ${answeredId}`;
  } catch {
    return `unreadable body of ${body.length} bytes`;
  }
}
