import type {RequestBody} from '../http/index.js';
import type {LinkPacer, LinkTransfer} from './link_pacer.js';

type Link = Omit<LinkTransfer, 'bytes'>;

/**
 * Delays the chunks of an answer while the link has no capacity left.
 * @param chunks - The chunks.
 * @param link - The link, seen from the source region.
 * @param pace - Accounts for the bytes.
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
 * Delays the chunks of a request's body while the link has no capacity left.
 * @param body - The body.
 * @param link - The link.
 * @param pace - Accounts for the bytes.
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
