import fc from 'fast-check';
import {NAMES} from './names.js';

/** Marker in data that does not belong to any request. */
export const STRAY = 'STRAY';
/** The request id that a response carries. */
enum RequestIdEcho {
  Own = 'own',
  Other = 'other',
  Missing = 'missing',
}
/** How the body of a response is delimited. */
enum Framing {
  Length = 'length',
  ShortLength = 'short length',
  LongLength = 'long length',
  TwoLengths = 'two lengths',
  InvalidLength = 'invalid length',
  Chunked = 'chunked',
  TruncatedChunk = 'truncated chunk',
  ChunkedAndLength = 'chunked and length',
  Connection = 'connection',
}
/** What the endpoint does with the connection after the last byte. */
export enum ConnectionEnd {
  Keep = 'keep',
  Close = 'close',
  Reset = 'reset',
}

/** Describes the raw bytes of a response and how they are written. */
export interface RawResponse {
  statusLine: string;
  echoedId: RequestIdEcho;
  hasStamp: boolean;
  isMarkedNotRun: boolean;
  framing: Framing;
  extraHeader: string;
  interim: string;
  lineEnd: string;
  body: string;
  /** Extra bytes after the response. */
  tail: string;
  end: ConnectionEnd;
  /** Number of bytes per write. */
  bytesPerWrite: number;
}

/** A valid response. */
export const VALID_RESPONSE: RawResponse = {
  statusLine: 'HTTP/1.1 200 OK',
  echoedId: RequestIdEcho.Own,
  hasStamp: true,
  isMarkedNotRun: false,
  framing: Framing.Length,
  extraHeader: '',
  interim: '',
  lineEnd: '\r\n',
  body: 'valid',
  tail: '',
  end: ConnectionEnd.Keep,
  bytesPerWrite: 10_000,
};

const STRAY_RESPONSE = `HTTP/1.1 200 OK\r\n${NAMES.stamp}: ${STRAY}\r\nContent-Length: 5\r\n\r\n${STRAY}`;

/** Generates the usual value, and one of the others with a probability of 2/7. */
function mostlyUsual<T>(usual: T, ...others: T[]): fc.Arbitrary<T> {
  return fc.oneof(
    {weight: 5, arbitrary: fc.constant(usual)},
    {weight: 2, arbitrary: fc.constantFrom(...others)},
  );
}

/** Generates valid and malformed responses. */
export const rawResponses: fc.Arbitrary<RawResponse> = fc.record({
  statusLine: mostlyUsual(
    'HTTP/1.1 200 OK',
    'HTTP/1.1 500 Failed',
    'HTTP/1.1 503 Busy',
    'HTTP/1.0 200 OK',
    'HTTP/1.1 2000 OK',
    'HTTP/1.1 99 Low',
    'HTTP/1.1  200 OK',
    'HTTP/1.1 200',
    'HTTP/9.9 200 OK',
    'ICY 200 OK',
    '',
  ),
  echoedId: mostlyUsual(
    RequestIdEcho.Own,
    RequestIdEcho.Other,
    RequestIdEcho.Missing,
  ),
  hasStamp: mostlyUsual(true, false),
  isMarkedNotRun: mostlyUsual(false, true),
  framing: mostlyUsual(Framing.Length, ...Object.values(Framing)),
  extraHeader: mostlyUsual(
    '',
    'X-Folded: a\r\n b',
    'X-Space : a',
    'X-Nul: a\0b',
    ': empty',
    'no colon',
    'X-Return: a\rb',
    'Content-Encoding: gzip',
    'Connection: close',
    'Keep-Alive: timeout=0',
    'Trailer: x',
  ),
  interim: mostlyUsual(
    '',
    'HTTP/1.1 100 Continue\r\n\r\n',
    'HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n',
    '\r\n',
  ),
  lineEnd: mostlyUsual('\r\n', '\n', '\r'),
  body: fc.string({unit: fc.constantFrom('a', 'b', '\r', '\n'), maxLength: 40}),
  tail: mostlyUsual('', STRAY_RESPONSE, STRAY, '\r\n', '0\r\n\r\n'),
  end: mostlyUsual(
    ConnectionEnd.Keep,
    ConnectionEnd.Close,
    ConnectionEnd.Reset,
  ),
  bytesPerWrite: mostlyUsual(10_000, 1, 7, 64),
});

/**
 * Renders a response as raw text.
 * @param response - The response.
 * @param requestId - The id of the request.
 */
export function renderResponse(
  response: RawResponse,
  requestId: string,
): string {
  const lines = [response.statusLine, ...getFramingHeaders(response)];
  if (response.echoedId !== RequestIdEcho.Missing) {
    const isOwn = response.echoedId === RequestIdEcho.Own;
    lines.push(`${NAMES.requestId}: ${isOwn ? requestId : 'another'}`);
  }
  if (response.hasStamp) lines.push(`${NAMES.stamp}: stamp`);
  if (response.isMarkedNotRun) lines.push(`${NAMES.notRun}: 1`);
  if (response.extraHeader !== '') lines.push(response.extraHeader);
  const head = [...lines, '', ''].join(response.lineEnd);
  return response.interim + head + getFramedBody(response) + response.tail;
}

/**
 * Returns whether bytes follow behind what the headers declare.
 * @param response - The response that the endpoint sent.
 */
export function hasSurplusBytes({framing, body, tail}: RawResponse): boolean {
  return tail !== '' || (framing === Framing.ShortLength && body !== '');
}

/**
 * Returns whether the caller may receive a success with the given body.
 * @param response - The response that the endpoint sent.
 * @param body - The body that the caller received.
 */
export function isExpectedSuccess(
  response: RawResponse,
  body: string,
): boolean {
  const {framing, echoedId, hasStamp, extraHeader} = response;
  const isValid =
    response.statusLine.includes(' 200') &&
    echoedId === RequestIdEcho.Own &&
    hasStamp &&
    extraHeader !== 'Content-Encoding: gzip';
  if (!isValid) return false;
  switch (framing) {
    case Framing.Length:
    case Framing.Chunked:
      return body === response.body;
    case Framing.ShortLength:
      return body === response.body.slice(0, -1);
    case Framing.Connection:
      return (
        body === response.body + response.tail &&
        response.end === ConnectionEnd.Close
      );
    default:
      return false;
  }
}

function getFramingHeaders({framing, body}: RawResponse): string[] {
  switch (framing) {
    case Framing.Length:
      return [`Content-Length: ${body.length}`];
    case Framing.ShortLength:
      return [`Content-Length: ${Math.max(0, body.length - 1)}`];
    case Framing.LongLength:
      return [`Content-Length: ${body.length + 500}`];
    case Framing.TwoLengths:
      return [`Content-Length: ${body.length}`, 'Content-Length: 3000'];
    case Framing.InvalidLength:
      return [`Content-Length: +${body.length}`];
    case Framing.ChunkedAndLength:
      return ['Transfer-Encoding: chunked', `Content-Length: ${body.length}`];
    case Framing.Connection:
      return ['Connection: close'];
    default:
      return ['Transfer-Encoding: chunked'];
  }
}

function getFramedBody({framing, body}: RawResponse): string {
  const chunk = body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`;
  if (framing === Framing.TruncatedChunk) return `fff\r\n${body}`;
  if (framing === Framing.Chunked || framing === Framing.ChunkedAndLength) {
    return `${chunk}0\r\n\r\n`;
  }
  return body;
}
