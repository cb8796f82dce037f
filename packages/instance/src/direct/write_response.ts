import type {ServerResponse} from 'node:http';
import type {EndpointResponse} from './attempt.js';
import {copyHeaders} from './caller_request.js';
import {isResponseComplete} from './endpoint_agent.js';

/** Headers of an answer that are set anew where its length is known. */
const OMITTED_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'date',
]);
const OMITTED_HEAD_HEADERS: ReadonlySet<string> = new Set(['date']);

/**
 * Passes an endpoint's answer on, unchanged and in the form in which the endpoint framed it.
 * @param response - The answer.
 * @param res - The response to the caller.
 * @param isHead - Whether the request was HEAD, whose answer states a length without a body.
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
  const hasBody = !isHead && status !== 204 && status !== 304 && status >= 200;
  if (hasBody && !isSelfDelimited) delimitByClose(res, headers);
  if (bodyStream) {
    res.writeHead(status, headers);
    streamBody(chunks, bodyStream, res);
    return;
  }
  const body = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
  if (hasBody && isSelfDelimited) {
    headers['content-length'] = String(body?.length ?? 0);
  }
  res.writeHead(status, headers);
  res.end(body);
}

/**
 * Lets the end of the connection end the answer, as at the endpoint: a length would claim that
 * an answer is whole of which that is not known.
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
 * A break of the endpoint's connection resets the caller's: where an answer states no length, a
 * connection that is closed in order looks like its end.
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
