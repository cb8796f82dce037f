import net from 'node:net';
import {RealTimerService} from '@primrosestage/common';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {DiscardedBuffers} from '../../src/direct/discarded_buffers.js';
import {ResponseBuffers} from '../../src/direct/send/response_buffers.js';
import {AttemptOutcome} from '../../src/direct/send/attempt.js';
import {EndpointAgent} from '../../src/direct/send/endpoint_agent.js';
import {sendAttempt} from '../../src/direct/send/send_attempt.js';
import {getTestPort} from '../support/get_test_port.js';
import {type RawServer, startRawServer} from '../support/start_raw_server.js';
import {
  createRoute,
  type LogLine,
  putConfiguration,
  putEndpoint,
  startInstance,
  type TestInstance,
  waitUntilServing,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';
import {fetchThrottled} from './fetch_throttled.js';

const ADDRESS = `127.40.11.1:${getTestPort(0)}`;
const DEADLINE_MS = 2_000;
const ROUNDS = 10;

describe('responses without a length', () => {
  let server: RawServer;
  let instance: TestInstance;
  let bodyBytes: number;
  let isReset: boolean;

  beforeEach(async () => {
    server = await startRawServer(ADDRESS, (socket, run) => {
      const id = /^x-request-id: (.*)$/m.exec(server.heads[run - 1] ?? '')?.[1];
      const head = `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n${NAMES.stamp}: s\r\n\r\n`;
      socket.write(head + 'x'.repeat(bodyBytes), () => {
        if (isReset) socket.resetAndDestroy();
        else socket.end();
      });
    });
    const registry = new MemoryRegistry();
    putConfiguration(registry, 1, [createRoute({attempts: 1, timeoutMs: 0})]);
    putEndpoint(registry, {id: 'e', address: ADDRESS});
    instance = await startInstance(registry, 42);
    await waitUntilServing(instance);
  });

  afterEach(async () => {
    await instance.instance[Symbol.asyncDispose]();
    await server.stop();
  });

  const fetchBytes = (bytes: number, reset: boolean) => {
    bodyBytes = bytes;
    isReset = reset;
    return fetchThrottled(instance.settings.callerAddress, DEADLINE_MS);
  };

  /** Returns whether a log line reports an incomplete or failed response. */
  const isFailureLine = ({event, fields}: LogLine) =>
    event === 'answer broken off' || fields['status'] === 502;

  it.each([
    ['short', 200],
    ['long', 3 * 1024 * 1024],
  ])(
    'guards against a %s one that looks complete after a reset',
    async (_what, bytes) => {
      for (let i = 0; i < ROUNDS; i++) {
        const {status, looksComplete} = await fetchBytes(bytes, true);
        expect(status === 200 && looksComplete).toBe(false);
        expect(instance.lines.some(isFailureLine)).toBe(true);
        instance.lines.length = 0;
        // Without a success in between, consecutive failures would put the endpoint into backoff.
        const closed = await fetchBytes(bytes, false);
        expect(closed).toMatchObject({status: 200, looksComplete: true});
      }
    },
  );
});

describe('responses without a length that begin before the request has been read', () => {
  const address = `127.40.11.2:${getTestPort(0)}`;
  const body = Buffer.alloc(12 * 1024 * 1024);
  let server: net.Server;
  let isRequestRead: boolean;
  const agent = new EndpointAgent();

  const respond = (socket: net.Socket) => {
    socket.write(
      `HTTP/1.1 200 OK\r\n${NAMES.requestId}: early\r\n${NAMES.stamp}: s\r\n\r\nhalf`,
      () => {
        if (isRequestRead) socket.end();
        else socket.resetAndDestroy();
      },
    );
  };

  beforeEach(async () => {
    server = net.createServer({allowHalfOpen: true}, socket => {
      let received = 0;
      socket.on('error', () => {});
      socket.on('data', bytes => {
        const isFirst = received === 0;
        received += bytes.length;
        if (!isRequestRead) socket.pause();
        const isDue = isRequestRead ? received > body.length : isFirst;
        if (isDue) respond(socket);
      });
    });
    const [host, port] = address.split(':');
    await new Promise<void>(resolve => {
      server.listen(Number(port), host, resolve);
    });
  });

  afterEach(async () => {
    agent.destroy();
    await new Promise(resolve => server.close(resolve));
  });

  const attempt = () => {
    const [host = '', port] = address.split(':');
    return sendAttempt(
      {
        host,
        port: Number(port),
        method: 'POST',
        path: '/',
        headers: {host, 'content-length': body.length},
        body: {parts: [body], length: body.length},
        requestId: 'early',
        timeoutMs: 5_000,
        connectTimeoutMs: 1_000,
      },
      {
        agent,
        timers: new RealTimerService(),
        responseBuffers: new ResponseBuffers(Infinity),
        discardedBuffers: new DiscardedBuffers(Infinity, () => {}),
        names: NAMES,
      },
    ).result;
  };

  // The probe for a reset waited behind the bytes of the request, so half an answer looked whole.
  it('guards against one that looks complete after a reset', async () => {
    isRequestRead = false;
    for (let i = 0; i < ROUNDS; i++) {
      expect((await attempt()).outcome).toBe(AttemptOutcome.Broken);
    }
  });

  it('accepts one that ends in order after the request has been read', async () => {
    isRequestRead = true;
    for (let i = 0; i < ROUNDS; i++) {
      expect((await attempt()).outcome).toBe(AttemptOutcome.Answered);
    }
  });
});
