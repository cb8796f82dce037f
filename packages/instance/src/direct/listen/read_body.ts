import type {IncomingMessage, ServerResponse} from 'node:http';
import type {BodyReservation} from './body_buffers.js';

/**
 * Sizes of the buffers for a body of unknown length, in bytes; a longer one gets the largest buffer.
 * Pages that are not written take no memory, whereas each replaced buffer takes some until it is
 * collected.
 */
const BUFFER_BYTES = [4 * 1024, 64 * 1024, 1024 * 1024];

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
): Promise<Buffer | undefined | BodyFault> {
  const {maxBytes, reservation} = limits;
  const header = req.headers['content-length'];
  if (!hasBody(req)) {
    req.resume();
    return Promise.resolve(header === undefined ? undefined : Buffer.alloc(0));
  }
  const length = Number(header ?? 0);
  if (length > maxBytes) return Promise.resolve(BodyFault.TooLarge);
  if (!reservation.growTo(length)) return Promise.resolve(BodyFault.NoMemory);
  const knownLength = header === undefined ? undefined : length;
  return receiveBody(req, res, knownLength, limits);
}

function receiveBody(
  req: IncomingMessage,
  res: ServerResponse,
  length: number | undefined,
  limits: BodyLimits,
): Promise<Buffer | BodyFault> {
  const {maxBytes, reservation} = limits;
  return new Promise(resolve => {
    let buffer: Buffer | undefined = Buffer.allocUnsafe(
      length ?? getCapacity(0, limits),
    );
    let size = 0;
    const end = (result: Buffer | BodyFault) => {
      buffer = undefined;
      resolve(result);
    };
    req.on('data', (chunk: Buffer) => {
      // The rest of a body that is not accepted is read and dropped.
      if (!buffer) return;
      const newSize = size + chunk.length;
      if (newSize > maxBytes) end(BodyFault.TooLarge);
      else if (!reservation.growTo(newSize)) end(BodyFault.NoMemory);
      else {
        buffer = growTo(buffer, size, newSize, limits);
        chunk.copy(buffer, size);
        size = newSize;
      }
    });
    req.on('end', () => {
      if (buffer) end(buffer.subarray(0, size));
    });
    const abort = () => end(BodyFault.Aborted);
    req.on('aborted', abort);
    req.on('error', abort);
    // A request whose response has ended emits no event if its connection closes.
    res.on('close', abort);
  });
}

/** Returns a buffer with the first `size` bytes of the given one and room for `newSize` bytes. */
function growTo(
  buffer: Buffer,
  size: number,
  newSize: number,
  limits: BodyLimits,
): Buffer {
  if (newSize <= buffer.length) return buffer;
  const grown = Buffer.allocUnsafe(getCapacity(newSize, limits));
  buffer.copy(grown, 0, 0, size);
  return grown;
}

function getCapacity(
  bytes: number,
  {maxBytes, reservation}: BodyLimits,
): number {
  const largest = Math.min(maxBytes, reservation.maxBytes);
  const capacity = BUFFER_BYTES.find(each => each >= bytes) ?? largest;
  return Math.min(capacity, largest);
}
