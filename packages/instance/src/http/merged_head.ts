import type {IncomingMessage} from 'node:http';

/** A status line, which is neither part of a reason phrase nor of a header value. */
const STATUS_LINE = /HTTP\/\d\.\d +\d{3}/;

/** Headers of HTTP that occur once, in lower case. */
const SINGLE_HEADERS: ReadonlySet<string> = new Set([
  'content-encoding',
  'content-length',
  'content-type',
  'location',
]);

/** The parts of a response that show whether its head consists of two. */
export type ReceivedHead = Pick<
  IncomingMessage,
  'statusMessage' | 'rawHeaders'
>;

/**
 * Finds out whether a head consists of parts of two responses. If a server ends a response within
 * its head and sends another one on the same connection, both are parsed as one head: the status
 * line of the second response ends a header value or the reason phrase of the first.
 * @param head - The head of a response.
 * @param singleHeaders - Lower-case names of further headers that occur once in a response.
 * @returns What shows that the head is merged, or undefined if nothing does.
 */
export function findMergedHeadFault(
  {statusMessage, rawHeaders}: ReceivedHead,
  singleHeaders: ReadonlySet<string>,
): string | undefined {
  if (STATUS_LINE.test(statusMessage ?? '')) {
    return 'status line within the reason phrase';
  }
  const seen = new Set<string>();
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = (rawHeaders[i] ?? '').toLowerCase();
    if (STATUS_LINE.test(rawHeaders[i + 1] ?? '')) {
      return `status line within header ${name}`;
    }
    if (!SINGLE_HEADERS.has(name) && !singleHeaders.has(name)) continue;
    if (seen.has(name)) return `repeated header ${name}`;
    seen.add(name);
  }
  return undefined;
}
