import {RequestKind} from '@primrosestage/steering';
import {afterEach, describe, expect, it} from 'vitest';
import {type EndpointStub, renderHead} from './endpoint_stub.js';
import {
  createRoute,
  putConfiguration,
  putEndpoint,
  send,
  waitUntilServing,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';
import {TestFleet} from './test_fleet.js';

const STATUSES = ['000', '099', '600', '999'];
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n';
const REFUSAL = {[NAMES.notRun]: '1', [NAMES.stamp]: undefined};

/** Makes an endpoint respond with a status and further headers; undefined ones are left out. */
function respondWith(
  stub: EndpointStub,
  status: string,
  extra: Record<string, string | undefined> = {},
  interim = '',
): void {
  stub.handle = (req, res, self) => {
    const all = {...self.getDefaultHeaders(req), ...extra};
    const headers = Object.fromEntries(
      Object.entries(all).filter(([, value]) => value !== undefined),
    ) as Record<string, string>;
    const head = renderHead(`${status} Odd`, {
      ...headers,
      'content-length': '3',
    });
    req.socket.write(`${interim}${head}\r\nodd`);
  };
}

describe.each(STATUSES)('a response of an endpoint with status %s', status => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  it.each([
    ['an answer', {}, ''],
    ['an answer after an interim response', {}, INTERIM],
    ['a refusal', REFUSAL, ''],
    ['a refusal after an interim response', REFUSAL, INTERIM],
  ])('guards against its use as %s to an order', async (_, extra, interim) => {
    for (const kind of [RequestKind.Unsafe, RequestKind.Upload]) {
      const route = createRoute({kind});
      const {stub, instance} = await fleet.startServing(76, [route]);
      respondWith(stub, status, extra, interim);
      const response = await send(instance, {method: 'POST', body: 'order'});
      expect(response.status).toBe(502);
      expect(response.headers[NAMES.stamp]).toBeUndefined();
      expect(stub.ran).toHaveLength(1);
      await fleet.end();
    }
  });

  it.each([
    ['an answer', {}],
    ['a refusal', REFUSAL],
  ])(
    'guards against its use as %s to a request that may be repeated',
    async (_, extra) => {
      const registry = new MemoryRegistry();
      const stubs = [
        await fleet.startEndpoint('e1'),
        await fleet.startEndpoint('e2'),
      ];
      putConfiguration(registry, 1, [createRoute({attempts: 2})]);
      for (const stub of stubs) putEndpoint(registry, stub, {slots: 200});
      const instance = await fleet.start(registry, 76);
      await waitUntilServing(instance);
      for (const stub of stubs) respondWith(stub, status, extra);
      expect((await send(instance, {object: 'a'})).status).toBe(502);
      const runs = stubs.map(({ran}) => ran.length);
      expect(runs).toEqual([1, 1]);
      const [first, second] = stubs as [EndpointStub, EndpointStub];
      for (const [odd, valid] of [
        [first, second],
        [second, first],
      ] as const) {
        respondWith(odd, status, extra);
        valid.handle = undefined;
        const response = await send(instance, {object: 'a'});
        expect(response).toMatchObject({
          status: 200,
          body: `answer of ${valid.id}`,
        });
      }
    },
  );
});
