import net from 'node:net';
import {RequestKind} from '@primrosestage/steering';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {EndpointStub} from './endpoint_stub.js';
import {createRoute, HOST, type TestInstance, waitFor} from './fleet.js';
import {NAMES} from './names.js';
import {TestFleet} from './test_fleet.js';

const MALFORMED_HEAD = 'rubbish\r\n\r\n';
/** Length of a body that is streamed, in bytes. */
const STREAMED_BYTES = 3_000_000;
const LONG_HEAD = `GET / HTTP/1.1\r\nx: ${'y'.repeat(70_000)}\r\n\r\n`;

describe('invalid requests of callers', () => {
  const fleet = new TestFleet();
  let stub: EndpointStub;
  let instance: TestInstance;

  beforeEach(async () => {
    const route = createRoute({kind: RequestKind.Unsafe, attempts: 1});
    ({stub, instance} = await fleet.startServing(76, [route]));
  });

  afterEach(() => fleet.end());

  const renderOrder = (headers: string) =>
    `POST /order HTTP/1.1\r\nhost: ${HOST}\r\n${NAMES.requestId}: order\r\n${headers}\r\n`;

  /** Sends texts over one connection, each when `isReady` allows it, and returns what arrives. */
  const exchange = async (
    texts: string[],
    isReady: (received: string) => boolean,
  ) => {
    const [host, port] = instance.settings.callerAddress.split(':');
    const socket = net.connect({host, port: Number(port)});
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    socket.on('error', () => {});
    const closed = new Promise(resolve => socket.on('close', resolve));
    const [first = '', ...others] = texts;
    socket.write(first);
    await waitFor('the first text has an effect', () => isReady(received));
    for (const text of others) socket.write(text);
    await closed;
    return received;
  };

  // The caller takes a status for the response to its order, which the endpoint is running.
  it.each([
    ['malformed', MALFORMED_HEAD],
    ['too long', LONG_HEAD],
  ])(
    'guards against an error status for an order that runs because the head behind it is %s',
    async (_, head) => {
      stub.handle = () => {};
      const order = renderOrder('content-length: 0\r\n');
      const received = await exchange(
        [order, head],
        () => stub.ran.length === 1,
      );
      expect(received).toBe('');
    },
  );

  it.each([
    ['malformed', MALFORMED_HEAD, 400],
    ['too long', LONG_HEAD, 431],
  ])(
    'guards against closing a connection without a status because a head is %s',
    async (_, head, status) => {
      const received = await exchange([head], () => true);
      expect(received).toContain(`HTTP/1.1 ${status} `);
    },
  );

  it('guards against a malformed body that is refused without a status', async () => {
    const order = renderOrder('transfer-encoding: chunked\r\n');
    const received = await exchange([order, 'rubbish\r\n'], () => true);
    expect(received).toContain('HTTP/1.1 400 ');
    expect(stub.ran).toEqual([]);
  });

  it('guards against a status within the body of a response that is streamed', async () => {
    stub.handle = (req, res, self) => {
      const headers = self.getDefaultHeaders(req);
      res.writeHead(200, {...headers, 'content-length': STREAMED_BYTES});
      res.write('x'.repeat(STREAMED_BYTES - 1));
    };
    const order = renderOrder('content-length: 0\r\n');
    const received = await exchange(
      [order, MALFORMED_HEAD],
      text => text.length > STREAMED_BYTES / 2,
    );
    expect(received.lastIndexOf('HTTP/1.1')).toBe(0);
  });
});
