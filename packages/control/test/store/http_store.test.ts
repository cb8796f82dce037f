import http from 'node:http';
import net from 'node:net';
import {connectTcp, RealTimerService} from '@primrosestage/common';
import {HttpStore, StoreFailure} from '@primrosestage/control';
import {afterEach, describe, expect, it} from 'vitest';

const HOST = '127.50.7.1';
// Each test process uses its own port, as tests of several checkouts may run concurrently.
const PORT = 10_000 + (process.pid % 20_000);
/** Timeout of calls in tests that do not check it, so that a busy machine does not fail them. */
const LONG_TIMEOUT_MS = 10_000;
const cleanups: Array<() => unknown> = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

/** Starts a client and a server that counts its connections. */
async function setUp(handle: http.RequestListener, timeoutMs?: number) {
  const stats = {connections: 0, inProgress: 0, maxInProgress: 0};
  const server = http.createServer((req, res) => {
    stats.inProgress++;
    stats.maxInProgress = Math.max(stats.maxInProgress, stats.inProgress);
    res.on('close', () => stats.inProgress--);
    handle(req, res);
  });
  server.on('connection', (socket: net.Socket) => {
    stats.connections++;
    cleanups.push(() => socket.destroy());
  });
  cleanups.push(() => server.close());
  await new Promise<void>(resolve => server.listen(PORT, HOST, resolve));
  return {stats, store: createStore(timeoutMs)};
}

function createStore(timeoutMs = 200): HttpStore {
  const store = new HttpStore({
    address: `${HOST}:${PORT}`,
    timeoutMs,
    connect: connectTcp,
    timers: new RealTimerService(),
  });
  cleanups.push(() => store[Symbol.asyncDispose]());
  return store;
}

function sendJson(
  res: http.ServerResponse,
  status: number,
  body: unknown,
): void {
  res.writeHead(status).end(JSON.stringify(body));
}

describe('HttpStore', () => {
  it('sends requests as defined by the store API (guards against requests that the store rejects)', async () => {
    const seen: string[] = [];
    const {store} = await setUp((req, res) => {
      let text = '';
      req.on('data', chunk => (text += chunk));
      req.on('end', () => {
        seen.push(`${req.method} ${req.url} ${text}`.trim());
        if (req.url === '/kv/missing') sendJson(res, 404, {});
        else if (text.includes('"expectedVersion":9')) sendJson(res, 409, {});
        else if (req.url === '/instances') sendJson(res, 200, {instances: []});
        else sendJson(res, 200, {value: 5, version: 2, entries: [], fence: 3});
      });
    }, LONG_TIMEOUT_MS);
    expect(await store.get('teams/a')).toEqual({
      key: 'teams/a',
      value: 5,
      version: 2,
    });
    expect(await store.get('missing')).toBeUndefined();
    expect(await store.put('teams/a', 6, 2)).toBe(2);
    expect(await store.put('teams/a', 6, 9)).toBeUndefined();
    expect(await store.acquireLease('l', 'me', 50)).toBe(3);
    expect(await store.listInstances()).toEqual([]);
    expect(
      (await store.watch({prefix: 'teams/', after: 2, timeoutMs: 9})).version,
    ).toBe(2);
    expect(seen).toEqual([
      'GET /kv/teams/a',
      'GET /kv/missing',
      'PUT /kv/teams/a {"value":6,"expectedVersion":2}',
      'PUT /kv/teams/a {"value":6,"expectedVersion":9}',
      'PUT /leases/l {"holder":"me","ttlMs":50}',
      'GET /instances',
      'GET /watch?prefix=teams%2F&after=2&timeoutMs=9',
    ]);
  });

  it.each([
    [StoreFailure.Refused, 400],
    [StoreFailure.ReplyLost, 500],
  ])(
    'reports %s on status %i (guards against reporting a write as refused that took effect)',
    async (failure, status) => {
      const {store} = await setUp((_, res) => sendJson(res, status, {}));
      await expect(store.put('k', 1, 0)).rejects.toMatchObject({failure});
    },
  );

  it('reports a refused connection as not sent, an unresponsive or closed one as a lost reply (guards against false rejections)', async () => {
    await expect(createStore().put('k', 1, 0)).rejects.toMatchObject({
      failure: StoreFailure.NotSent,
    });
    const {store} = await setUp(
      req => void (req.method === 'GET' && req.socket.destroy()),
    );
    const failure = StoreFailure.ReplyLost;
    await expect(store.put('k', 1, 0)).rejects.toMatchObject({failure});
    await expect(store.get('k')).rejects.toMatchObject({failure});
  });

  it('opens a new connection after an unanswered watch (guards against reuse of an unresponsive connection)', async () => {
    let calls = 0;
    const {store, stats} = await setUp((_, res) => {
      if (++calls !== 2) sendJson(res, 200, {entries: [], version: 1});
    });
    const watch = () =>
      store.watch({
        prefix: 't',
        after: 0,
        timeoutMs: 10,
        signal: AbortSignal.timeout(100),
      });
    await watch();
    const late = new Promise(resolve => setTimeout(resolve, 700, 'late'));
    await expect(Promise.race([watch(), late])).rejects.toMatchObject({
      failure: StoreFailure.ReplyLost,
    });
    await watch();
    expect(stats.connections).toBe(2);
  });

  it('answers a call whose predecessors left unresponsive connections (guards against a timeout per connection)', async () => {
    const unresponsiveSockets = new Set<unknown>();
    const {store} = await setUp((req, res) => {
      if (!unresponsiveSockets.has(req.socket))
        sendJson(res, 200, {value: 1, version: 1});
      unresponsiveSockets.add(req.socket);
    });
    await Promise.all(['a', 'b', 'c'].map(key => store.get(key)));
    expect(await store.get('k')).toMatchObject({value: 1});
  });

  // The store writes its response to the first call again while it handles the second one.
  it.each([
    ['conflict', 409, {}, (store: HttpStore) => store.put('k', 1, 0), 5],
    ['refusal', 400, {}, (store: HttpStore) => store.put('k', 1, 0), 5],
    [
      'missing key',
      404,
      {},
      (store: HttpStore) => store.get('k'),
      {version: 5},
    ],
    [
      'value',
      200,
      {value: 1, version: 1},
      (store: HttpStore) => store.get('k'),
      {version: 5},
    ],
    [
      'fence',
      200,
      {fence: 1},
      (store: HttpStore) => store.acquireLease('l', 'me', 50),
      6,
    ],
    [
      'list',
      200,
      {instances: [{}]},
      (store: HttpStore) => store.listInstances(),
      [],
    ],
  ])(
    'guards against a copy of a %s as the response to a later call',
    async (_, status, body, send, expected) => {
      let first: unknown;
      const {store} = await setUp((req, res) => {
        if (first === undefined) {
          first = req.socket;
          return sendJson(res, status, body);
        }
        const text = JSON.stringify(body);
        if (first === req.socket) {
          req.socket.write(
            `HTTP/1.1 ${status} Copy\r\ncontent-length: ${text.length}\r\n\r\n${text}`,
          );
        }
        return sendJson(res, 200, {
          value: 1,
          version: 5,
          fence: 6,
          instances: [],
        });
      }, LONG_TIMEOUT_MS);
      await send(store).catch(() => {});
      const result = await send(store);
      if (typeof expected === 'object') expect(result).toMatchObject(expected);
      else expect(result).toBe(expected);
    },
  );

  it('limits concurrent calls (guards against a burst that overloads the store)', async () => {
    const {store, stats} = await setUp(
      (_, res) =>
        setTimeout(() => sendJson(res, 200, {value: 1, version: 1}), 5),
      LONG_TIMEOUT_MS,
    );
    await Promise.all(Array.from({length: 40}, () => store.get('k')));
    expect(stats.maxInProgress).toBeGreaterThan(1);
    expect(stats.maxInProgress).toBeLessThanOrEqual(4);
  });
});
