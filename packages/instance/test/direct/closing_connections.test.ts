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
/** When an instance is stopped: before a request or after its response. */
enum Stop {
  Before,
  After,
}

/** Differences between the requests for a page. */
interface PageOptions {
  stop?: Stop;
  /** Further header lines. */
  lines?: string;
  idleTimeoutMs?: number;
}

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

  // The kernel answers the next request with a reset if the connection is closed altogether. Behind a
  // response that is out of the process, the connection counts as idle.
  it.each<[string, number, PageOptions]>([
    [
      'a response that closes its connection in a planned stop',
      600,
      {stop: Stop.Before},
    ],
    ['a response from before a planned stop', 4_200, {stop: Stop.After}],
    [
      'a response whose caller has asked to close its connection',
      600,
      {lines: 'Connection: close\r\n'},
    ],
    [
      'a response after the idle timeout',
      IDLE_WAIT_MS,
      {idleTimeoutMs: IDLE_TIMEOUT_MS},
    ],
  ])('guards against a reset behind %s', async (_, waitMs, options) => {
    const instance = await start(113, options.idleTimeoutMs);
    const {stop} = options;
    const stopped = [];
    if (stop === Stop.Before) stopped.push(instance.instance.stop());
    using caller = new SlowCaller(instance.settings.callerAddress);
    caller.requestPage('page', DEADLINE_MS, options.lines);
    await waitForResponse(instance, 'page');
    if (stop === Stop.After) stopped.push(instance.instance.stop());
    await sleep(waitMs);
    await expectWholePage(caller);
    await Promise.all(stopped);
  });

  it.each([
    ['malformed', 'rubbish\r\n\r\n', 400],
    ['too long', `GET / HTTP/1.1\r\nx: ${'y'.repeat(70_000)}\r\n\r\n`, 431],
  ])(
    'sends the status for a %s head while its caller goes on sending',
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

  it('sends the status of the directory for a request whose body is not read', async () => {
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
