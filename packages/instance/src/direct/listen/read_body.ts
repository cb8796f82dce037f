import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestBody} from '../send/request_body.js';
import {BodyParts} from './body_parts.js';
import type {BodySegments} from './body_segments.js';
import type {BodyReservation} from './body_buffers.js';

/** Reason for which a request body could not be read. */
export enum BodyFault {
  TooLarge = 'too-large',
  /** There is no memory for it beside the bodies of other requests. */
  NoMemory = 'no-memory',
  Aborted = 'aborted',
}

/** Limits on the body of a request. */
export interface BodyLimits {
  /** Largest accepted body in bytes. */
  maxBytes: number;
  /** Memory for the body, which the caller of `readBody` disposes of. */
  reservation: BodyReservation;
  /** Lends the buffers of a body of unknown length. */
  segments: BodySegments;
}

/**
 * Returns whether a request has a body, by its headers.
 * @param req - The request.
 */
export function hasBody({headers}: IncomingMessage): boolean {
  const length = headers['content-length'] ?? '0';
  return headers['transfer-encoding'] !== undefined || length !== '0';
}

/**
 * Returns whether the rest of a request's body can be read and dropped at little cost, so that its
 * connection can be kept. Without a stated length, neither its end nor the cost of its chunks is
 * known.
 * @param req - A request whose body may not have arrived whole.
 * @param maxBytes - Largest body that is accepted, in bytes.
 */
export function canSkipBody(req: IncomingMessage, maxBytes: number): boolean {
  if (req.complete || !hasBody(req)) return true;
  return Number(req.headers['content-length'] ?? Infinity) <= maxBytes;
}

/**
 * Buffers the whole body of a request, so that the request can be retried.
 * @param req - The request.
 * @param res - The response to it, at the end of which reading ends.
 * @param limits - Limits on the body.
 * @returns The body, undefined if there is none, or the reason for which it could not be read.
 */
export function readBody(
  req: IncomingMessage,
  res: ServerResponse,
  limits: BodyLimits,
): Promise<RequestBody | undefined | BodyFault> {
  const {maxBytes, reservation} = limits;
  const header = req.headers['content-length'];
  if (!hasBody(req)) {
    req.resume();
    const isEmpty = header !== undefined;
    return Promise.resolve(isEmpty ? {parts: [], length: 0} : undefined);
  }
  const length = Number(header ?? 0);
  if (length > maxBytes) return Promise.resolve(BodyFault.TooLarge);
  if (!reservation.growTo(length)) return Promise.resolve(BodyFault.NoMemory);
  return header === undefined
    ? receiveChunked(req, res, limits)
    : receiveWhole(req, res, length);
}

/** Receives a body of a stated length, which Node.js enforces. */
async function receiveWhole(
  req: IncomingMessage,
  res: ServerResponse,
  length: number,
): Promise<RequestBody | BodyFault> {
  const buffer = Buffer.allocUnsafe(length);
  let size = 0;
  const append = (chunk: Buffer) => {
    size += chunk.copy(buffer, size);
    return undefined;
  };
  const fault = await receive(req, res, append);
  return fault ?? {parts: [buffer], length: size};
}

/** Receives a body of unknown length, for which memory is reserved as it grows. */
async function receiveChunked(
  req: IncomingMessage,
  res: ServerResponse,
  {maxBytes, reservation, segments}: BodyLimits,
): Promise<RequestBody | BodyFault> {
  const body = new BodyParts(segments);
  const append = (chunk: Buffer) => {
    const size = body.length + chunk.length;
    if (size > maxBytes) return BodyFault.TooLarge;
    if (!reservation.growTo(size)) return BodyFault.NoMemory;
    body.append(chunk);
    return undefined;
  };
  const fault = await receive(req, res, append);
  if (fault === undefined) return body.finish();
  body.release();
  return fault;
}

/**
 * Passes the chunks of a body on until its end, or until one is not accepted; the rest is dropped.
 * @returns Why the body could not be read; undefined if it has arrived whole.
 */
function receive(
  req: IncomingMessage,
  res: ServerResponse,
  append: (chunk: Buffer) => BodyFault | undefined,
): Promise<BodyFault | undefined> {
  return new Promise(resolve => {
    let isDone = false;
    const end = (fault?: BodyFault) => {
      isDone = true;
      resolve(fault);
    };
    req.on('data', (chunk: Buffer) => {
      if (isDone) return;
      const fault = append(chunk);
      if (fault !== undefined) end(fault);
    });
    req.on('end', () => end());
    const abort = () => end(BodyFault.Aborted);
    req.on('aborted', abort);
    req.on('error', abort);
    // A request whose response has ended emits no event if its connection closes.
    res.on('close', abort);
  });
}
