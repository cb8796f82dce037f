import type {OutgoingHttpHeaders} from 'node:http';
import type {Answer} from '../exchange/index.js';

/**
 * Creates an answer from a body that is held in memory.
 * @param status - HTTP status.
 * @param headers - End-to-end headers without `content-length`.
 * @param body - The body.
 */
export function createBufferedAnswer(
  status: number,
  headers: OutgoingHttpHeaders,
  body: Buffer,
): Answer {
  const length = status === 204 ? {} : {'content-length': String(body.length)};
  return {
    status,
    headers: {...headers, ...length},
    chunks: (async function* () {
      if (body.length > 0) yield body;
    })(),
    cancel: () => {},
  };
}
