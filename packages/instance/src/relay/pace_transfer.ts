import type {RequestBody} from '../http/index.js';
import type {LinkPacer, LinkTransfer} from './link_pacer.js';

type Link = Omit<LinkTransfer, 'bytes'>;

/**
 * Delays the chunks of an answer while the budget of the link is used up.
 * @param chunks - The chunks.
 * @param link - The link in the direction of the request; the answer is charged to the reverse.
 * @param pace - Charges the bytes to the budget of the link.
 */
export async function* paceChunks(
  chunks: AsyncIterable<Buffer>,
  link: Link,
  pace: LinkPacer,
): AsyncGenerator<Buffer> {
  const reverse = {
    ...link,
    fromRegion: link.toRegion,
    toRegion: link.fromRegion,
  };
  for await (const chunk of chunks) {
    await pace({...reverse, bytes: chunk.length});
    yield chunk;
  }
}

/**
 * Delays the chunks of a request body while the budget of the link is used up.
 * @param body - The body.
 * @param link - The link in the direction of the request.
 * @param pace - Charges the bytes to the budget of the link.
 */
export function paceBody(
  body: RequestBody,
  link: Link,
  pace: LinkPacer,
): RequestBody {
  return {
    contentLength: body.contentLength,
    canSend: () => body.canSend(),
    async *read() {
      for await (const chunk of body.read()) {
        await pace({...link, bytes: chunk.length});
        yield chunk;
      }
    },
  };
}
