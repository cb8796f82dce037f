import {describe, expect, it} from 'vitest';
import {
  HeadKind,
  judgeResponseHead,
} from '../../src/direct/send/judge_response.js';
import {NAMES} from './names.js';

const ID = 'own';

/** Judges a head; repeated headers are joined as Node.js does. */
function judge(
  statusCode: number,
  headers: Array<[name: string, value: string]>,
  statusMessage = 'OK',
) {
  const joined: Record<string, string> = {};
  for (const [name, value] of headers) {
    joined[name] = name in joined ? `${joined[name]}, ${value}` : value;
  }
  const rawHeaders = headers.flat();
  const head = {statusCode, statusMessage, headers: joined, rawHeaders};
  return judgeResponseHead(head, ID, NAMES).kind;
}

describe('judgeResponseHead', () => {
  const id: [string, string] = [NAMES.requestId, ID];
  const stamp: [string, string] = [NAMES.stamp, 'stamp'];
  const notRun: [string, string] = [NAMES.notRun, '1'];

  it.each([200, 404, 500, 504])('accepts an answer with status %i', status => {
    expect(judge(status, [id, stamp])).toBe(HeadKind.Answer);
  });

  it.each([400, 408, 421, 429, 503])(
    'accepts a refusal with status %i',
    status => {
      expect(judge(status, [id, notRun])).toBe(HeadKind.Refusal);
    },
  );

  it('accepts a misdirected request without the marker', () => {
    expect(judge(421, [id])).toBe(HeadKind.Refusal);
  });

  it.each([408, 429, 503])(
    'guards against status %i without the marker as a refusal',
    status => {
      expect(judge(status, [id])).toBe(HeadKind.Invalid);
      expect(judge(status, [id, stamp])).toBe(HeadKind.Invalid);
    },
  );

  // Each of these was a refusal before, and its order may have run.
  it.each([
    ['without an id', 503, [notRun]],
    ['with the id of another request', 503, [[NAMES.requestId, 'x'], notRun]],
    ['with two ids', 503, [id, id, notRun]],
    ['with two markers', 503, [id, notRun, notRun]],
    ['with a stamp', 503, [id, notRun, stamp]],
    ['with status 200', 200, [id, notRun]],
    ['with status 421 and a stamp', 421, [id, stamp]],
    [
      'with a status line in a header',
      503,
      [['x', 'aHTTP/1.1 200 OK'], id, notRun],
    ],
  ] as Array<[string, number, Array<[string, string]>]>)(
    'guards against a false refusal %s',
    (_, status, headers) => {
      expect(judge(status, headers)).toBe(HeadKind.Foreign);
    },
  );

  it.each([
    ['two stamps', [id, stamp, stamp]],
    [
      'two lengths',
      [id, stamp, ['content-length', '1'], ['content-length', '1']],
    ],
    ['two loads', [id, stamp, [NAMES.load, '1,0,4'], [NAMES.load, '1,0,4']]],
    ['no id', [stamp]],
  ] as Array<[string, Array<[string, string]>]>)(
    'guards against an answer with %s',
    (_, headers) => {
      expect(judge(200, headers)).toBe(HeadKind.Foreign);
    },
  );

  it('guards against a status line in the reason phrase', () => {
    expect(judge(404, [id, stamp], 'Not HTTP/1.1 200 OK')).toBe(
      HeadKind.Foreign,
    );
  });

  it('accepts a protocol version in a header value', () => {
    const via: [string, string] = ['via', 'HTTP/1.1 proxy'];
    expect(judge(200, [id, stamp, via])).toBe(HeadKind.Answer);
  });

  it.each([0, 100, 101, 102, 103, 199])(
    'guards against status %i as an answer or a refusal',
    status => {
      expect(judge(status, [id, stamp])).toBe(HeadKind.Invalid);
      expect(judge(status, [id, notRun])).toBe(HeadKind.Invalid);
    },
  );

  it('guards against an answer without the stamp', () => {
    expect(judge(200, [id])).toBe(HeadKind.Invalid);
  });
});
