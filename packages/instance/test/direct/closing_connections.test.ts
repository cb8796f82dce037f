import {RequestKind} from '@primrosestage/steering';
import {afterEach, describe, expect, it} from 'vitest';
import {
  BOUNDS,
  createRoute,
  putConfiguration,
  putEndpoint,
  sleep,
  type TestInstance,
  waitFor,
  waitUntilServing,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {SlowCaller} from './slow_caller.js';
import {TestFleet} from './test_fleet.js';

/** Length of a response of which the caller's buffers hold only a part, in bytes. */
const PAGE_BYTES = 2_000_000;
const DEADLINE_MS = 5_000;
const IDLE_TIMEOUT_MS = 300;
/** Time after which an idle connection has surely been given up, in milliseconds. */
const IDLE_WAIT_MS = 3_000;
/** Bytes that a caller sends although its request has been refused. */
const FURTHER_BYTES = 'x'.repeat(200_000);

describe('closing connections of callers', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  const start = async (number: number, idleTimeoutMs = 15_000) => {
    const registry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('e1');
    stub.handle = (req, res, self) => {
      res.writeHead(200, self.getDefaultHeaders(req));
      res.end(Buffer.alloc(PAGE_BYTES, 'x'));
    };
    const route = createRoute({kind: RequestKind.Download, timeoutMs: 8_000});
    putConfiguration(registry, 1, [route], {}, {idleTimeoutMs});
    putEndpoint(registry, stub);
    const instance = await fleet.start(registry, number, {
      bounds: {...BOUNDS, stopTimeoutMs: 6_000},
    });
    await waitUntilServing(instance);
    return instance;
  };

  const waitForResponse = (instance: TestInstance, id: string) =>
    waitFor('the response is forwarded', () =>
      instance.lines.some(
        ({event, fields}) => event === 'request' && fields.id === id,
      ),
    );

  /** Sends the next request before the page is read, and expects the page to arrive whole. */
  const expectWholePage = async (caller: SlowCaller) => {
    caller.requestPage('next', DEADLINE_MS);
    await sleep(100);
    const {text} = await caller.readToEnd();
    const [head = ''] = text.split('\r\n\r\n', 1);
    expect(head).toContain('HTTP/1.1 200 ');
    expect(text.length - head.length - 4).toBeGreaterThanOrEqual(PAGE_BYTES);
  };

  // The kernel answers the next request with a reset if the connection is closed altogether.
  it('guards against a reset behind a response that closes its connection in a planned stop', async () => {
    const instance = await start(113);
    const stop = instance.instance.stop();
    using caller = new SlowCaller(instance.settings.callerAddress);
    caller.requestPage('page', DEADLINE_MS);
    await waitForResponse(instance, 'page');
    await sleep(600);
    await expectWholePage(caller);
    await stop;
  });

  // The response is out of the process, so that its connection counts as idle.
  it('guards against a reset behind a response from before a planned stop', async () => {
    const instance = await start(114);
    using caller = new SlowCaller(instance.settings.callerAddress);
    caller.requestPage('page', DEADLINE_MS);
    await waitForResponse(instance, 'page');
    const stop = instance.instance.stop();
    await sleep(4_200);
    await expectWholePage(caller);
    await stop;
  });

  it('guards against a reset behind a response whose caller has asked to close its connection', async () => {
    const instance = await start(115);
    using caller = new SlowCaller(instance.settings.callerAddress);
    caller.requestPage('page', DEADLINE_MS, 'Connection: close\r\n');
    await waitForResponse(instance, 'page');
    await sleep(600);
    await expectWholePage(caller);
  });

  it('guards against a reset behind a response after the idle timeout', async () => {
    const instance = await start(116, IDLE_TIMEOUT_MS);
    using caller = new SlowCaller(instance.settings.callerAddress);
    caller.requestPage('page', DEADLINE_MS);
    await waitForResponse(instance, 'page');
    await sleep(IDLE_WAIT_MS);
    await expectWholePage(caller);
  });

  // A reset would overtake the status while the caller is sending.
  it.each([
    ['malformed', 'rubbish\r\n\r\n', 400],
    ['too long', `GET / HTTP/1.1\r\nx: ${'y'.repeat(70_000)}\r\n\r\n`, 431],
  ])(
    'guards against a reset in place of a status for a %s head',
    async (_, head, status) => {
      const instance = await start(117);
      using caller = new SlowCaller(instance.settings.callerAddress);
      caller.send(head);
      await sleep(100);
      caller.send(FURTHER_BYTES);
      await sleep(100);
      const {text, error} = await caller.readToEnd();
      expect(text).toContain(`HTTP/1.1 ${status} `);
      expect(error).toBeUndefined();
    },
  );

  it('guards against a reset in place of a status of the directory for a request with a body', async () => {
    const instance = await start(118);
    using caller = new SlowCaller(instance.settings.directoryAddress);
    caller.send(
      `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${FURTHER_BYTES.length}\r\n\r\n`,
    );
    await sleep(100);
    caller.send(FURTHER_BYTES);
    await sleep(100);
    const {text, error} = await caller.readToEnd();
    expect(text).toContain('HTTP/1.1 404 ');
    expect(error).toBeUndefined();
  });

  it('does not wait in a planned stop for a caller that never closes its connection', async () => {
    const instance = await start(119);
    using caller = new SlowCaller(instance.settings.callerAddress, {
      neverCloses: true,
    });
    caller.requestPage('page', 500);
    await waitForResponse(instance, 'page');
    void caller.readToEnd();
    await instance.instance.stop();
    const done = instance.lines.find(({event}) => event === 'stop done');
    expect(done?.fields.connections).toBe(0);
  });
});
