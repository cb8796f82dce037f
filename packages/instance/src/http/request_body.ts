import type {IncomingMessage} from 'node:http';
import {Step, StepError, type TimerService} from '@primrosestage/common';

/** Maximum size of a body that is buffered, so that it can be sent again. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1024;
/** Maximum size of a body that is accepted. */
export const MAX_BODY_BYTES = 256 * 1024 * 1024;

/** Holds the body of a request, either buffered or as a stream that can be read once. */
export interface RequestBody {
  /** The complete body if it is buffered. */
  readonly bytes?: Buffer;
  /** Length in bytes, if known. */
  readonly contentLength?: number;
  /** Returns whether the body can still be sent in full. */
  canSend(): boolean;
  /**
   * Reads the body; a body that is not buffered can be read only once.
   * @throws StepError if the caller stops sending or sends more than is accepted.
   */
  read(): AsyncIterable<Buffer>;
}

/** Thrown if a body is not accepted. */
export class BodyError extends StepError {
  constructor(
    peer: string,
    /** HTTP status of the refusal. */
    readonly status: number,
    message: string,
  ) {
    super({step: Step.Ingress, peer}, message);
  }
}

/** Configures how a body is read. */
export interface ReadBodyOptions {
  timers: TimerService;
  /** Maximum time without data from the caller, in milliseconds. */
  progressTimeoutMs: number;
}

/**
 * Buffers a body of up to `MAX_BUFFERED_BODY_BYTES`; a longer one is streamed when it is read.
 * @param req - The request.
 * @param options - Clock and timeout.
 * @returns The body.
 * @throws BodyError if the body is too long or the caller stops sending.
 */
export async function readBody(
  req: IncomingMessage,
  options: ReadBodyOptions,
): Promise<RequestBody> {
  const peer = req.socket.remoteAddress ?? 'caller';
  const length = req.headers['content-length'];
  const contentLength = length === undefined ? undefined : Number(length);
  if ((contentLength ?? 0) > MAX_BODY_BYTES) {
    throw new BodyError(
      peer,
      413,
      `body of ${contentLength} bytes, expected at most ${MAX_BODY_BYTES}`,
    );
  }
  const chunks = readChunks(req, peer, options);
  if ((contentLength ?? 0) > MAX_BUFFERED_BODY_BYTES) {
    return createStreamedBody([], chunks, contentLength);
  }
  const buffered: Buffer[] = [];
  let bufferedBytes = 0;
  for (;;) {
    const {value, done} = await chunks.next();
    if (done) return createBufferedBody(Buffer.concat(buffered));
    buffered.push(value);
    bufferedBytes += value.length;
    if (bufferedBytes > MAX_BUFFERED_BODY_BYTES) {
      return createStreamedBody(buffered, chunks, contentLength);
    }
  }
}

/** Creates a body from a buffer. */
export function createBufferedBody(bytes: Buffer): RequestBody {
  return {
    bytes,
    contentLength: bytes.length,
    canSend: () => true,
    async *read() {
      if (bytes.length > 0) yield bytes;
    },
  };
}

function createStreamedBody(
  buffered: Buffer[],
  remaining: AsyncIterable<Buffer>,
  contentLength: number | undefined,
): RequestBody {
  let isRead = false;
  return {
    contentLength,
    canSend: () => !isRead,
    async *read() {
      isRead = true;
      yield* buffered;
      yield* remaining;
    },
  };
}

/** Reads chunks; fails if the caller sends nothing within the timeout or the body is too long. */
async function* readChunks(
  req: IncomingMessage,
  peer: string,
  options: ReadBodyOptions,
): AsyncGenerator<Buffer, undefined> {
  const chunks = req[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  let totalBytes = 0;
  for (;;) {
    const {value, done} = await readWithTimeout(chunks, peer, options);
    if (done) return undefined;
    totalBytes += value.length;
    if (totalBytes > MAX_BODY_BYTES) {
      throw new BodyError(
        peer,
        413,
        `body longer than ${MAX_BODY_BYTES} bytes`,
      );
    }
    yield value;
  }
}

async function readWithTimeout(
  chunks: AsyncIterator<Buffer>,
  peer: string,
  options: ReadBodyOptions,
): Promise<IteratorResult<Buffer, undefined>> {
  const {timers, progressTimeoutMs} = options;
  let timeout: AsyncDisposable | undefined;
  const expired = new Promise<never>((_, reject) => {
    timeout = timers.after(progressTimeoutMs, () =>
      reject(
        new BodyError(
          peer,
          408,
          `no data of the body received for ${progressTimeoutMs} ms`,
        ),
      ),
    );
  });
  try {
    return await Promise.race([chunks.next(), expired]);
  } finally {
    await timeout?.[Symbol.asyncDispose]();
  }
}
