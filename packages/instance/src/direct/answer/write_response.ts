import type {ServerResponse} from 'node:http';
import {copyHeaders} from '../../http/copy_headers.js';
import type {EndpointResponse} from '../send/attempt.js';
import {isResponseComplete} from '../send/endpoint_agent.js';

/** Response headers that are not copied, because this instance sets its own. */
const OMITTED_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'date',
]);
const OMITTED_HEAD_HEADERS: ReadonlySet<string> = new Set(['date']);

/**
 * Forwards an endpoint's response unchanged. Its end never depends on that of the connection, which
 * is closed in an orderly way also if this process is killed: the length is stated where it is
 * known, and otherwise the body is sent in chunks.
 * @param response - The endpoint's response.
 * @param res - The response to the caller.
 * @param isHead - Whether the request was HEAD, so that the response may state a length but has no
 * body.
 */
export function writeResponse(
  response: EndpointResponse,
  res: ServerResponse,
  isHead: boolean,
): void {
  const {bodyStream, chunks, status} = response;
  const headers = copyHeaders(
    response.rawHeaders,
    isHead ? OMITTED_HEAD_HEADERS : OMITTED_HEADERS,
  );
  if (canHaveBody(status, isHead)) {
    const length = getBodyLength(response);
    if (length !== undefined) headers['content-length'] = String(length);
  }
  res.writeHead(status, headers);
  if (bodyStream) {
    streamBody(chunks, bodyStream, res);
    return;
  }
  // One buffer with all chunks would need their memory twice.
  res.cork();
  for (const chunk of chunks.slice(0, -1)) res.write(chunk);
  res.end(chunks.at(-1));
  res.uncork();
}

/**
 * Returns whether the caller can tell the whole response from one that is cut off. A caller of
 * HTTP/1.0 cannot if the length is not known, as it does not understand chunks.
 * @param response - The endpoint's response.
 * @param res - The response to the caller, whose head has not been sent.
 * @param isHead - Whether the request was HEAD.
 */
export function showsTruncation(
  response: EndpointResponse,
  res: ServerResponse,
  isHead: boolean,
): boolean {
  return (
    !canHaveBody(response.status, isHead) ||
    getBodyLength(response) !== undefined ||
    res.useChunkedEncodingByDefault
  );
}

function canHaveBody(status: number, isHead: boolean): boolean {
  return !isHead && status !== 204 && status !== 304 && status >= 200;
}

/** Returns the length of the body in bytes; undefined if it is not known before its end. */
function getBodyLength({
  bodyStream,
  chunks,
}: EndpointResponse): number | undefined {
  if (!bodyStream) return chunks.reduce((sum, {length}) => sum + length, 0);
  const stated = bodyStream.headers['content-length'];
  return stated === undefined ? undefined : Number(stated);
}

/**
 * Streams the body. A failure of the endpoint's connection resets the caller's connection, so that
 * the last chunk, or the rest of the stated length, never follows.
 */
function streamBody(
  chunks: readonly Buffer[],
  bodyStream: NonNullable<EndpointResponse['bodyStream']>,
  res: ServerResponse,
): void {
  const abort = () => {
    res.socket?.resetAndDestroy();
    res.destroy();
  };
  for (const chunk of chunks) res.write(chunk);
  bodyStream.on('error', abort);
  bodyStream.on('aborted', abort);
  bodyStream.on('close', () => {
    if (!bodyStream.readableEnded) abort();
  });
  bodyStream.on('end', () => {
    if (isResponseComplete(bodyStream)) res.end();
    else abort();
  });
  res.on('close', () => bodyStream.destroy());
  bodyStream.pipe(res, {end: false});
}
