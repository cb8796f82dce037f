import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {RequestKind} from '@primrosestage/steering';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {EndpointStub} from './endpoint_stub.js';
import {createFlood, type FloodOptions} from './flood.js';
import {
  createRoute,
  putConfiguration,
  putEndpoint,
  send,
  startInstance,
  waitFor,
  waitUntilServing,
  type TestInstance,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';
import {fetchThrottled} from './fetch_throttled.js';

/** Deadline of the requests, much longer than the byte limits take to be reached. */
const DEADLINE_MS = 1_500;
/** Time within which data that cannot be a valid response must be detected, in milliseconds. */
const DETECTION_LIMIT_MS = 700;
/**
 * Limit on the growth of memory at any time of a flood, for caller, instance and endpoint together,
 * because they share the process.
 */
const MAX_MEMORY_GROWTH_BYTES = 16 * 1024 * 1024;
/** Interval between measurements of the memory in use, in milliseconds. */
const MEASURE_MS = 250;

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n`;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/**
 * Returns the memory in use after garbage collection. Freed buffers are still counted until the
 * next collection, so garbage is collected twice.
 */
function getUsedBytes(): number {
  collectGarbage();
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

describe('endless responses', () => {
  let registry: MemoryRegistry;
  let flooding: EndpointStub;
  let healthy: EndpointStub;
  let instance: TestInstance;

  beforeEach(async () => {
    registry = new MemoryRegistry();
    flooding = await new EndpointStub('flooding').start();
    healthy = await new EndpointStub('sound').start();
    putConfiguration(registry, 1, [
      createRoute({attempts: 1, timeoutMs: 0}),
      createRoute({
        name: 'orders',
        prefix: '/orders/',
        kind: RequestKind.Unsafe,
      }),
      createRoute({name: 'retried', prefix: '/retried/'}),
      createRoute({
        name: 'others',
        prefix: '/others/',
        targets: [{service: 'others', weight: 1}],
      }),
    ]);
    putEndpoint(registry, flooding);
    putEndpoint(registry, healthy, {service: 'others'});
    instance = await startInstance(registry, 40);
    await waitUntilServing(instance);
  });

  afterEach(async () => {
    await instance.instance[Symbol.asyncDispose]();
    await flooding[Symbol.asyncDispose]();
    await healthy[Symbol.asyncDispose]();
  });

  /** Sends a request to the flooding endpoint while requests to a healthy one continue. */
  const measureFlood = async (options: FloodOptions) => {
    const flood = createFlood(options);
    flooding.handle = flood.handle;
    const memoryBefore = getUsedBytes();
    let peakMemory = memoryBefore;
    const startedAt = performance.now();
    let measureAt = startedAt + MEASURE_MS;
    let isOpen = true;
    const {callerAddress} = instance.settings;
    const throttled = fetchThrottled(callerAddress, DEADLINE_MS).finally(() => {
      isOpen = false;
    });
    let others = 0;
    while (isOpen) {
      const other = await send(instance, {path: '/others/page'});
      expect(other.body).toBe('answer of sound');
      others++;
      if (performance.now() < measureAt) continue;
      measureAt = performance.now() + MEASURE_MS;
      peakMemory = Math.max(peakMemory, getUsedBytes());
    }
    const response = await throttled;
    await waitFor('the connection is closed', () => flood.closed === 1);
    const elapsedMs = flood.closedAt - startedAt;
    expect(others).toBeGreaterThan(0);
    expect(peakMemory - memoryBefore).toBeLessThan(MAX_MEMORY_GROWTH_BYTES);
    return {response, elapsedMs};
  };

  const endlessHeads: Array<[string, FloodOptions]> = [
    ['status line', {head: 'HTTP/1.1 200 ', repeated: 'O'}],
    ['binary data', {head: '', repeated: '\0\xff'}],
    ['empty lines', {head: '', repeated: '\r\n'}],
    ['header', {head: `${OK}X-Long: `, repeated: 'x'}],
    ['headers', {head: OK, repeated: 'X-Many: x\r\n'}],
    [
      'interim responses',
      {head: '', repeated: 'HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n'},
    ],
    [
      'continue responses',
      {head: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n'},
    ],
  ];

  it.each(endlessHeads)('guards against endless %s', async (_what, options) => {
    const {response, elapsedMs} = await measureFlood(options);
    expect(response.status).toBe(502);
    expect(elapsedMs).toBeLessThan(DETECTION_LIMIT_MS);
  });

  it.each([
    ['chunk extension', {head: CHUNKED, repeated: ';a=b'}, '5'],
    ['trailers', {head: CHUNKED, repeated: 'X-Many: x\r\n'}, '0\r\n'],
    ['chunk size', {head: CHUNKED, repeated: '0'}, ''],
  ])('guards against endless %s', async (_what, options, prefix) => {
    const flood = createFlood({...options, hasUsualHeaders: true});
    flooding.handle = (req, res, stub) => {
      flood.handle(req, res, stub);
      if (prefix !== '') req.socket.write(prefix);
    };
    const startedAt = performance.now();
    const response = await send(instance, {deadlineMs: DEADLINE_MS});
    expect(response.status).toBe(502);
    expect(performance.now() - startedAt).toBeLessThan(DETECTION_LIMIT_MS);
    await waitFor('the connection is closed', () => flood.closed === 1);
  });

  // The connection and the first megabyte of each such response were kept until the endpoint closed.
  it.each([
    ['to an order whose caller has left', '200 OK', '/orders/1'],
    ['with a status that is retried', '500 Failed', '/retried/1'],
  ])(
    'guards against keeping an endless response %s',
    async (_, status, path) => {
      const flood = createFlood({
        head: `HTTP/1.1 ${status}\r\nTransfer-Encoding: chunked\r\n`,
        hasUsualHeaders: true,
        repeated: '1000\r\n' + 'x'.repeat(0x1000) + '\r\n',
      });
      flooding.handle = (req, res, stub) => {
        if (flooding.ran.length > 1) stub.respond(req, res);
        else setTimeout(() => flood.handle(req, res, stub), 100);
      };
      const abort = new AbortController();
      const sent = send(instance, {
        path,
        method: path.startsWith('/orders') ? 'POST' : 'GET',
        signal: path.startsWith('/orders') ? abort.signal : undefined,
      }).catch(() => undefined);
      setTimeout(() => abort.abort(), 50);
      await waitFor('the connection is closed', () => flood.closed === 1);
      await sent;
    },
  );

  it('accepts a refusal by its header and closes a connection with an endless body', async () => {
    const {response, elapsedMs} = await measureFlood({
      head:
        'HTTP/1.1 503 Service Unavailable\r\n' +
        `${NAMES.notRun}: 1\r\nTransfer-Encoding: chunked\r\n`,
      hasRequestId: true,
      repeated: '1000\r\n' + 'x'.repeat(0x1000) + '\r\n',
    });
    expect(response.status).toBe(503);
    expect(response.head).toMatch(/retry-after:/i);
    expect(elapsedMs).toBeLessThan(DETECTION_LIMIT_MS);
  });

  it.each([
    ['small chunks', {head: CHUNKED, repeated: '1\r\nx\r\n'}],
    [
      'large chunks',
      {head: CHUNKED, repeated: '1000\r\n' + 'x'.repeat(0x1000) + '\r\n'},
    ],
    ['no framing', {head: `${OK}Connection: close\r\n`, repeated: 'x'}],
  ])(
    'aborts an endless body (%s) at the deadline so that it does not look complete',
    async (_what, options) => {
      const {response, elapsedMs} = await measureFlood({
        ...options,
        hasUsualHeaders: true,
      });
      expect(response.status).toBe(200);
      expect(response.looksComplete).toBe(false);
      expect(elapsedMs).toBeGreaterThan(DEADLINE_MS - 100);
      expect(elapsedMs).toBeLessThan(DEADLINE_MS + DETECTION_LIMIT_MS);
      const line = instance.lines.find(
        ({event}) => event === 'answer broken off',
      );
      expect(line?.fields).toMatchObject({endpoint: 'flooding'});
    },
  );
});
