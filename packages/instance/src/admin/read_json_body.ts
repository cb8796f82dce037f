import type {IncomingMessage} from 'node:http';
import {getErrorMessage, Step, StepError} from '@primrosestage/common';

/** Maximum size of a request body; a preset for 10 regions takes a few kilobytes. */
const MAX_BODY_BYTES = 256 * 1024;

/**
 * Reads a JSON request body.
 * @param req - The request.
 * @returns The parsed value.
 * @throws StepError if the body is too large or not valid JSON.
 */
export async function readJsonBody(req: IncomingMessage): Promise<unknown> {
  const peer = req.socket.remoteAddress ?? '';
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_BODY_BYTES) {
      throw new StepError(
        {step: Step.Admin, peer},
        `body is larger than ${MAX_BODY_BYTES} bytes`,
      );
    }
    chunks.push(chunk);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch (err) {
    throw new StepError(
      {step: Step.Admin, peer, cause: err},
      `body is not valid JSON: ${getErrorMessage(err)}`,
    );
  }
}
