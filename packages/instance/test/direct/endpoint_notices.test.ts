import {RequestKind} from '@primrosestage/steering';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {EndpointStub, StubHandler} from './endpoint_stub.js';
import {
  createRoute,
  putConfiguration,
  putEndpoint,
  send,
  sleep,
  type TestInstance,
  waitFor,
  waitUntilServing,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';
import {TestFleet} from './test_fleet.js';

const [LEAVING = ''] = NAMES.leaving;

describe('notices of endpoints', () => {
  const fleet = new TestFleet();
  let registry: MemoryRegistry;
  let first: EndpointStub;
  let second: EndpointStub;
  let instance: TestInstance;
  let objects = 0;

  beforeEach(async () => {
    registry = new MemoryRegistry();
    first = await fleet.startEndpoint('e1');
    second = await fleet.startEndpoint('e2');
    const route = createRoute({kind: RequestKind.Unsafe});
    putConfiguration(registry, 1, [route]);
    for (const stub of [first, second]) putEndpoint(registry, stub);
    instance = await fleet.start(registry, 49);
    await waitUntilServing(instance);
  });

  afterEach(() => fleet.end());

  /** Sends orders for new objects, which no endpoint has handled yet. */
  const sendOrders = async (count: number) => {
    const statuses: number[] = [];
    for (let i = 0; i < count; i++) {
      const object = `object-${++objects}`;
      const {status} = await send(instance, {method: 'POST', object});
      statuses.push(status);
    }
    return statuses;
  };

  /** Sends orders until the first endpoint has answered one with a notice. */
  const receiveNotice = async (handle: StubHandler) => {
    let isStated = false;
    first.handle = (req, res, self) => {
      isStated = true;
      first.handle = undefined;
      first.arrivedAt.length = 0;
      handle(req, res, self);
    };
    for (let i = 0; i < 50 && !isStated; i++) await sendOrders(1 + i);
    expect(isStated).toBe(true);
    first.handle = undefined;
  };

  const respondWith =
    (status: number, notice: Record<string, string>): StubHandler =>
    (req, res, self) => {
      res.writeHead(status, {...self.getDefaultHeaders(req), ...notice});
      res.end(`answer of ${self.id}`);
    };

  const refuseWith =
    (notice: Record<string, string | string[]>): StubHandler =>
    (req, res, self) => {
      const id = String(req.headers[NAMES.requestId]);
      self.ran.splice(self.ran.lastIndexOf(id), 1);
      const own = {[NAMES.requestId]: id, [NAMES.notRun]: '1'};
      res.writeHead(503, {...own, ...notice}).end();
    };

  // The endpoint got hundreds of requests after its leave had been passed on.
  it.each([
    ['a success', respondWith(200, {[LEAVING]: '1'})],
    ['a failure', respondWith(500, {[LEAVING]: '1'})],
    ['a refusal', refuseWith({[LEAVING]: '1'})],
  ])(
    'guards against requests to an endpoint that leaves, stated in %s',
    async (_, handle) => {
      await receiveNotice(handle);
      // An entry that still says ready must not undo what the endpoint said itself.
      putEndpoint(registry, first, {slots: 3});
      await sleep(150);
      expect(await sendOrders(30)).toEqual(Array(30).fill(200));
      expect(first.arrivedAt).toEqual([]);
      putEndpoint(registry, first, {bornAt: 2});
      await sleep(150);
      await sendOrders(30);
      expect(first.arrivedAt.length).toBeGreaterThan(0);
    },
  );

  it('guards against a leave of another response', async () => {
    await receiveNotice((req, res, self) => {
      const headers = self.getDefaultHeaders(req);
      const foreign = {...headers, [NAMES.requestId]: 'x', [LEAVING]: '1'};
      res.writeHead(200, foreign).end();
    });
    await sendOrders(30);
    expect(first.arrivedAt.length).toBeGreaterThan(0);
  });

  // The endpoint got up to 175 requests of one instance within the time that it had asked for.
  it('guards against requests to an endpoint that asked to wait', async () => {
    let statedAt = 0;
    const refuse = refuseWith({'retry-after': '0.8'});
    await receiveNotice((req, res, self) => {
      statedAt = performance.now();
      refuse(req, res, self);
    });
    await waitFor('the endpoint is used again', async () => {
      expect(await sendOrders(30)).toEqual(Array(30).fill(200));
      return first.arrivedAt.length > 0;
    });
    expect(first.arrivedAt[0]).toBeGreaterThan(statedAt + 790);
  });

  it('refuses at once, with the shortest wait, if all endpoints asked to wait', async () => {
    await receiveNotice(refuseWith({'retry-after': '30'}));
    second.handle = refuseWith({'retry-after': '0.6'});
    await sendOrders(1);
    const arrived = second.arrivedAt.length;
    const {status, headers} = await send(instance, {method: 'POST'});
    expect(status).toBe(503);
    const retryAfterS = Number(headers['retry-after']);
    expect(retryAfterS).toBeGreaterThan(0.3);
    expect(retryAfterS).toBeLessThan(0.7);
    expect(second.arrivedAt).toHaveLength(arrived);
  });

  it.each([['-5'], ['soon'], ['5, 5'], ['Sat, 05 Dec 2026 17:00:00 GMT']])(
    'ignores a wait of %s, with a log line',
    async value => {
      await receiveNotice(refuseWith({'retry-after': value}));
      await sendOrders(30);
      expect(first.arrivedAt.length).toBeGreaterThan(0);
      const line = instance.lines.find(
        ({event}) => event === 'endpoint notice ignored',
      );
      expect(line?.fields).toMatchObject({endpoint: 'e1', retryAfter: value});
    },
  );
});
