import {createHash} from 'node:crypto';
import http from 'node:http';
import net from 'node:net';
import {RequestKind} from '@primrosestage/steering';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {EndpointStub} from './endpoint_stub.js';
import {
  createRoute,
  HOST,
  putConfiguration,
  putEndpoint,
  send,
  sleep,
  waitFor,
  waitUntilServing,
  type TestInstance,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';
import {TestFleet} from './test_fleet.js';

const MIB = 1024 * 1024;
const MAX_BODY_BYTES = 64 * MIB;
/** Length of which two bodies fit into memory at a time, and three do not. */
const LARGE_BYTES = 50 * MIB;

describe('large request bodies', () => {
  const fleet = new TestFleet();
  let stub: EndpointStub;
  let instance: TestInstance;
  let sockets: net.Socket[];

  beforeEach(async () => {
    sockets = [];
    const registry = new MemoryRegistry();
    stub = await fleet.startEndpoint('e1');
    const route = createRoute({kind: RequestKind.Unsafe, timeoutMs: 4_000});
    const limits = {maxBodyBytes: MAX_BODY_BYTES};
    putConfiguration(registry, 1, [route], {}, limits);
    putEndpoint(registry, stub, {slots: 50});
    instance = await fleet.start(registry, 80);
    await waitUntilServing(instance);
  });

  afterEach(async () => {
    for (const socket of sockets) socket.destroy();
    await fleet.end();
  });

  const sendBody = (body: string, headers: http.OutgoingHttpHeaders = {}) =>
    send(instance, {method: 'POST', body, headers, deadlineMs: 8_000});

  /**
   * Sends the head of a request and the first byte of its body.
   * @returns What the instance has sent so far.
   */
  const sendHead = (lengthHeader: string, deadlineMs = 8_000) => {
    const [host, port] = instance.settings.callerAddress.split(':');
    const socket = net.connect({host, port: Number(port)});
    sockets.push(socket);
    const received = {text: '', socket};
    socket.on('data', bytes => (received.text += String(bytes)));
    socket.on('error', () => {});
    socket.write(
      `POST / HTTP/1.1\r\nHost: ${HOST}\r\n${NAMES.requestId}: large\r\n` +
        `${NAMES.deadlineMs}: ${deadlineMs}\r\n${lengthHeader}\r\n\r\n`,
    );
    return received;
  };

  const sendLargeHead = (deadlineMs?: number) =>
    sendHead(`Content-Length: ${LARGE_BYTES}`, deadlineMs);

  it.each([
    ['with a length', (body: string) => ({'content-length': body.length})],
    ['in chunks', () => ({'transfer-encoding': 'chunked'})],
  ])(
    'guards against refusing a body %s that the configuration allows',
    async (_, createHeaders) => {
      const body = 'abcdefg'.repeat(3 * MIB);
      const {status} = await sendBody(body, createHeaders(body));
      expect(status).toBe(200);
      const hash = (text = '') => createHash('sha1').update(text).digest('hex');
      expect(hash(stub.bodies[0])).toBe(hash(body));
    },
  );

  it('refuses a body beyond the configured limit with 413', async () => {
    const received = sendHead(`Content-Length: ${MAX_BODY_BYTES + 1}`);
    await waitFor('it is refused', () => received.text.includes(' 413 '));
  });

  it('guards against more buffered bytes than there is memory for', async () => {
    sendLargeHead();
    sendLargeHead();
    await sleep(100);
    const received = sendLargeHead();
    await waitFor('it is refused', () => received.text.includes('\r\n\r\n'));
    expect(received.text).toMatch(/^HTTP\/1\.1 503 /);
    expect(received.text).toMatch(/\r\nretry-after: 0\.\d+\r\n/i);
    expect(received.text).toMatch(new RegExp(`${NAMES.requestId}: large`));
    expect((await sendBody('small')).status).toBe(200);
    expect(stub.bodies).toEqual(['small']);
  });

  it('guards against a refused body that is read as the next request', async () => {
    sendLargeHead();
    sendLargeHead();
    await sleep(100);
    const received = sendLargeHead();
    await waitFor('it is refused', () => received.text.includes('\r\n\r\n'));
    const chunk = 'x'.repeat(MIB);
    for (let i = 0; i < LARGE_BYTES; i += MIB) received.socket.write(chunk);
    received.text = '';
    received.socket.write(
      `GET /next HTTP/1.1\r\nHost: ${HOST}\r\n${NAMES.requestId}: next\r\n\r\n`,
    );
    await waitFor('it is answered', () => received.text.includes('answer of'));
    expect(received.text).toMatch(/^HTTP\/1\.1 200 /);
  });

  it('serves a single body in chunks of one byte', async () => {
    const received = sendHead('Transfer-Encoding: chunked');
    received.socket.write('1\r\nx\r\n'.repeat(200_000));
    received.socket.write('0\r\n\r\n');
    await waitFor('it is answered', () => received.text.includes('answer of'));
    expect(received.text).toMatch(/^HTTP\/1\.1 200 /);
  });

  it('refuses a body in chunks as soon as there is no memory for it', async () => {
    sendLargeHead();
    sendLargeHead();
    await sleep(100);
    const received = sendHead('Transfer-Encoding: chunked');
    const chunk = `${MIB.toString(16)}\r\n${'x'.repeat(MIB)}\r\n`;
    for (let i = 0; i < 14; i++) received.socket.write(chunk);
    await waitFor('it is refused', () => received.text.includes('\r\n\r\n'));
    expect(received.text).toMatch(/^HTTP\/1\.1 503 /);
    expect(stub.ran).toHaveLength(0);
  });

  it.each([
    ['of callers that have disconnected', 8_000],
    ['that did not arrive by their deadlines', 150],
  ])(
    'guards against memory that is kept for bodies %s',
    async (_, deadlineMs) => {
      const open = [sendLargeHead(deadlineMs), sendLargeHead(deadlineMs)];
      await sleep(100);
      if (deadlineMs > 1_000) for (const {socket} of open) socket.destroy();
      await sleep(400);
      const received = [sendLargeHead(), sendLargeHead()];
      await sleep(100);
      expect(received.map(({text}) => text)).toEqual(['', '']);
    },
  );

  it('guards against memory that is kept for bodies that were sent', async () => {
    const body = 'x'.repeat(20 * MIB);
    for (let i = 0; i < 6; i++) {
      expect((await sendBody(body)).status).toBe(200);
      stub.bodies.length = 0;
    }
  });
});
