import {afterEach, beforeEach, describe, expect, it} from 'vitest';
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
