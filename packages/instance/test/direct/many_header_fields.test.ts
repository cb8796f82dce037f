import net from 'node:net';
import {RequestKind} from '@primrosestage/steering';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {type EndpointStub, renderHead} from './endpoint_stub.js';
import {createRoute, HOST, send, type TestInstance} from './fleet.js';
import {NAMES} from './names.js';
import {TestFleet} from './test_fleet.js';

/** Number of header fields beyond which Node.js drops fields unless it is told otherwise. */
const NODE_FIELD_LIMIT = 1_000;
/** Fields of an answer in front of those that matter. */
const LEADING_FIELDS = 1_100;
const BODY = 'one visit';
const FRAMINGS: Array<[string, string]> = [
  ['with a length', `content-length: ${BODY.length}\r\n\r\n${BODY}`],
  [
    'in chunks',
    `transfer-encoding: chunked\r\n\r\n${BODY.length}\r\n${BODY}\r\n0\r\n\r\n`,
  ],
];

/** Renders short header fields. */
function renderFields(count: number): string {
  return Array.from({length: count}, (_, i) => `t${i}:a\r\n`).join('');
}

describe('messages with many header fields', () => {
  const fleet = new TestFleet();
  let stub: EndpointStub;
  let instance: TestInstance;

  beforeEach(async () => {
    const route = createRoute({kind: RequestKind.Unsafe});
    ({stub, instance} = await fleet.startServing(112, [route]));
  });

  afterEach(() => fleet.end());

  /** Sends an order whose framing comes last, and returns what arrives until the connection ends. */
  const sendOrder = async (id: string, fields: string, framing: string) => {
    const [host, port] = instance.settings.callerAddress.split(':');
    const socket = net.connect({host, port: Number(port)});
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    const closed = new Promise(resolve => socket.on('close', resolve));
    socket.write(
      `POST /order HTTP/1.1\r\nhost: ${HOST}\r\nconnection: close\r\n` +
        `${NAMES.requestId}: ${id}\r\n${fields}${framing}`,
    );
    await closed;
    return received;
  };

  /** Answers with many fields in front of the usual ones. */
  const answerLate = (status: string, extra: Record<string, string>) => {
    stub.handle = (req, _res, self) => {
      const head = renderHead(status, {
        ...Object.fromEntries(
          Array.from({length: LEADING_FIELDS}, (_, i) => [`t${i}`, 'a']),
        ),
        ...extra,
        'content-length': '2',
      });
      if (extra[NAMES.notRun] !== undefined) self.ran.pop();
      req.socket.write(`${head}\r\nok`);
    };
  };

  // The parser uses the framing of a body although the field is not handed over.
  it.each(FRAMINGS)(
    'guards against an order that runs without its body %s behind many header fields',
    async (_, framing) => {
      const counts = [];
      // Beside these the head has four fields.
      for (let n = NODE_FIELD_LIMIT - 10; n <= NODE_FIELD_LIMIT + 2; n += 2) {
        counts.push(n);
      }
      counts.push(1.5 * NODE_FIELD_LIMIT);
      for (const count of counts) {
        const received = await sendOrder(
          `order-${count}`,
          renderFields(count),
          framing,
        );
        expect(received, `${count} fields`).toContain('HTTP/1.1 200 ');
      }
      expect(stub.ran).toEqual(counts.map(count => `order-${count}`));
      expect(new Set(stub.bodies)).toEqual(new Set([BODY]));
    },
  );

  // The parser does not say whether spaces stand around the values.
  it('guards against rejecting a head within the limit because of spaces that it does not have', async () => {
    const fields = Array.from({length: 2_800}, (_, i) => `${i.toString(36)}:`);
    const text = `${fields.join('\r\n')}\r\n`;
    expect(text.length).toBeLessThan(16_000);
    const received = await sendOrder('order', text, FRAMINGS[0]![1]);
    expect(received).toContain('HTTP/1.1 200 ');
  });

  // Short lines of a body in chunks look like trailers, whose memory is limited.
  it('guards against refusing a body in chunks because of its short lines', async () => {
    const lines = '0\r\n'.repeat(20_000);
    const size = lines.length.toString(16);
    const framing = `transfer-encoding: chunked\r\n\r\n${size}\r\n${lines}\r\n0\r\n\r\n`;
    const received = await sendOrder('order', '', framing);
    expect(received).toContain('HTTP/1.1 200 ');
    expect(stub.bodies[0]?.length).toBe(lines.length);
  });

  it('rejects a request with more header fields than are handed over', async () => {
    const fields = 'a:\r\n'.repeat(17_000);
    const received = await sendOrder('order', fields, FRAMINGS[0]![1]);
    expect(received).toContain('HTTP/1.1 431 ');
    expect(stub.ran).toEqual([]);
  });

  it('guards against an answer that is replaced because its id and stamp come behind many fields', async () => {
    answerLate('200 OK', {
      [NAMES.requestId]: 'order',
      [NAMES.stamp]: 'stamp',
    });
    const response = await send(instance, {id: 'order', method: 'POST'});
    expect(response.status).toBe(200);
    expect(response.body).toBe('ok');
  });

  // Without the marker, the order would have to count as one that may have run.
  it('guards against a refusal whose marker is lost behind many fields', async () => {
    answerLate('503 Busy', {
      [NAMES.requestId]: 'order',
      [NAMES.notRun]: '1',
      'retry-after': '1',
    });
    const response = await send(instance, {id: 'order', method: 'POST'});
    expect(response.status).toBe(503);
    expect(response.headers['retry-after']).toBeDefined();
  });

  it('guards against sending further requests to an endpoint whose notice is lost behind many fields', async () => {
    answerLate('200 OK', {
      [NAMES.requestId]: 'order',
      [NAMES.stamp]: 'stamp',
      [NAMES.leaving[0] ?? '']: '1',
    });
    await send(instance, {id: 'order', method: 'POST'});
    await send(instance, {id: 'next', method: 'POST'});
    expect(stub.ran).toEqual(['order']);
  });
});
