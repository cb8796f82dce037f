import fc from 'fast-check';
import {NAMES} from './names.js';

/** Marks bytes that belong to no request. */
export const STRAY = 'STRAY';
/** What an answer says of the request's identifier. */
enum RequestIdEcho {
  Own = 'own',
  Other = 'other',
  Missing = 'missing',
}
/** How an answer states where its body ends. */
enum Framing {
  Length = 'length',
  ShortLength = 'short length',
  LongLength = 'long length',
  TwoLengths = 'two lengths',
  InvalidLength = 'odd length',
  Chunked = 'chunked',
  TruncatedChunk = 'cut chunk',
  ChunkedAndLength = 'chunked and length',
  Connection = 'connection',
}
/** What the endpoint does after its last byte. */
export enum ConnectionEnd {
  Keep = 'keep',
  Close = 'close',
  Reset = 'reset',
}

/** Describes an answer that an endpoint writes byte by byte. */
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
  /** Bytes behind the answer. */
  tail: string;
  end: ConnectionEnd;
  /** Bytes that are written at once. */
  bytesPerWrite: number;
}

/** An answer without a fault. */
export const VALID_RESPONSE: RawResponse = {
  statusLine: 'HTTP/1.1 200 OK',
  echoedId: RequestIdEcho.Own,
  hasStamp: true,
  isMarkedNotRun: false,
  framing: Framing.Length,
  extraHeader: '',
  interim: '',
  lineEnd: '\r\n',
  body: 'sound',
  tail: '',
  end: ConnectionEnd.Keep,
  bytesPerWrite: 10_000,
};

const STRAY_RESPONSE = `HTTP/1.1 200 OK\r\n${NAMES.stamp}: ${STRAY}\r\nContent-Length: 5\r\n\r\n${STRAY}`;

/** Mostly sound values, with one of many faults in about every third answer each. */
function mostlyUsual<T>(usual: T, ...others: T[]): fc.Arbitrary<T> {
  return fc.oneof(
    {weight: 5, arbitrary: fc.constant(usual)},
    {weight: 2, arbitrary: fc.constantFrom(...others)},
  );
}

/** Generates answers, sound and broken. */
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
 * Writes an answer down as bytes.
 * @param response - The answer.
 * @param requestId - The identifier of the request.
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
 * Says whether the caller may get a success with a body.
 * @param response - What the endpoint sent.
 * @param body - What the caller got.
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
