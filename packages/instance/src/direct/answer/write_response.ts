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
 * Forwards an endpoint's response, unchanged and delimited as by the endpoint.
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
  const {bodyStream, chunks, status, isSelfDelimited} = response;
  const headers = copyHeaders(
    response.rawHeaders,
    isHead ? OMITTED_HEAD_HEADERS : OMITTED_HEADERS,
  );
  const hasBody = canHaveBody(status, isHead);
  if (hasBody && !isSelfDelimited) delimitByClose(res, headers);
  if (bodyStream) {
    res.writeHead(status, headers);
    streamBody(chunks, bodyStream, res);
    return;
  }
  if (hasBody && isSelfDelimited) {
    const length = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
    headers['content-length'] = String(length);
  }
  res.writeHead(status, headers);
  // One buffer with all chunks would need their memory twice.
  res.cork();
  for (const chunk of chunks.slice(0, -1)) res.write(chunk);
  res.end(chunks.at(-1));
  res.uncork();
}

/**
 * Returns whether a response ends only when its connection is closed.
 * @param response - The endpoint's response.
 * @param isHead - Whether the request was HEAD.
 */
export function endsOnClose(
  {status, isSelfDelimited}: EndpointResponse,
  isHead: boolean,
): boolean {
  return !isSelfDelimited && canHaveBody(status, isHead);
}

function canHaveBody(status: number, isHead: boolean): boolean {
  return !isHead && status !== 204 && status !== 304 && status >= 200;
}

/**
 * Delimits the response by closing the connection, as the endpoint does. A content length or
 * chunked encoding would mark the response as complete, which is not known.
 */
function delimitByClose(
  res: ServerResponse,
  headers: Record<string, string | string[]>,
): void {
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
  headers['connection'] = 'close';
}

/**
 * Streams the body. A failure of the endpoint's connection resets the caller's connection, because
 * an orderly close would look like the end of a response without a length.
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
