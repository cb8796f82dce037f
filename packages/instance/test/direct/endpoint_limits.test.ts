import {afterEach, describe, expect, it} from 'vitest';
import type {EndpointStub} from './endpoint_stub.js';
import {findLimitExcesses} from '../../../testing/src/limits/index.js';
import {
  type CallerAnswer,
  createRoute,
  getControlAddress,
  putConfiguration,
  putEndpoint,
  send,
  sleep,
  waitUntilServing,
  type TestInstance,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';
import {TestFleet} from './test_fleet.js';

/** Time from the start of an instance until it may issue permits, in milliseconds. */
const TAKEOVER_MS = 2_400;

const fleet = new TestFleet();

afterEach(() => fleet.end());

async function startWithLimitedEndpoint(limit: string) {
  const registry = new MemoryRegistry();
  putConfiguration(registry, 1, [createRoute()]);
  const endpoint: EndpointStub = await fleet.startEndpoint('e1');
  endpoint.limit = limit;
  putEndpoint(registry, endpoint);
  const test = await fleet.start(registry, 1);
  await waitUntilServing(test);
  return {endpoint, test};
}

function findLines(test: TestInstance, name: string) {
  return test.lines
    .filter(({event}) => event === name)
    .map(({fields}) => fields);
}

describe('rate limits of endpoints in the log', () => {
  it('leads from the id of a request to what was known of the limit', async () => {
    const {test} = await startWithLimitedEndpoint('5.5');
    await send(test, {id: 'first'});
    await send(test, {id: 'second'});
    await sleep(TAKEOVER_MS);
    await send(test, {id: 'third'});
    const [change] = findLines(test, 'endpoint limit changed');
    expect(change).toMatchObject({
      endpoint: 'e1',
      perSecond: 5.5,
      previousPerSecond: 'none',
      from: 'instance-1',
    });
    const [, second, third] = findLines(test, 'request');
    expect(second).toMatchObject({
      id: 'second',
      status: 503,
      limited: ['e1'],
      attempts: [],
    });
    const limit = {
      perSecond: 5.5,
      from: 'instance-1',
      coordinator: 'instance-1',
    };
    expect(third).toMatchObject({id: 'third', attempts: [{limit}]});
  });

  it('ignores an invalid limit and logs it', async () => {
    const {test} = await startWithLimitedEndpoint('-3');
    await send(test);
    expect(findLines(test, 'endpoint limit ignored')).toEqual([
      {endpoint: 'e1', value: '-3', ignored: 1},
    ]);
    expect(findLines(test, 'endpoint limit changed')).toEqual([]);
  });
});

describe('rate limits of endpoints over all instances', () => {
  const PER_SECOND = 3;
  const DURATION_MS = 8_000;
  const SETTLE_MS = 1_000;
  const REQUEST_INTERVAL_MS = 25;

  async function startLimitedFleet() {
    const registry = new MemoryRegistry();
    putConfiguration(registry, 1, [createRoute({isSticky: false})]);
    const endpoints: EndpointStub[] = [];
    for (const id of ['e1', 'e2', 'e3']) {
      const endpoint = await fleet.startEndpoint(id);
      putEndpoint(registry, endpoint);
      endpoints.push(endpoint);
    }
    const instances: TestInstance[] = [];
    for (const number of [1, 2, 3]) {
      const isNorth = number < 3;
      const test = await fleet.start(registry, number, {
        zone: isNorth ? 'north-a' : 'south-a',
        region: isNorth ? 'north' : 'south',
        seedAddresses: number === 1 ? [] : [getControlAddress(1)],
      });
      instances.push(test);
      await waitUntilServing(test);
    }
    return {endpoints, instances, registry};
  }

  /** Sends requests to the instances in turn for a time, and returns the statuses. */
  async function sendRequests(
    instances: readonly TestInstance[],
    durationMs: number,
  ): Promise<number[]> {
    const endAt = performance.now() + durationMs;
    const answers: Array<Promise<CallerAnswer>> = [];
    while (performance.now() < endAt) {
      const target = instances[answers.length % instances.length];
      answers.push(send(target as TestInstance));
      await sleep(REQUEST_INTERVAL_MS);
    }
    return (await Promise.all(answers)).map(({status}) => status);
  }

  it('sends an endpoint no more than its limit (guards against instances that each ignore it or apply it whole)', async () => {
    const {endpoints, instances} = await startLimitedFleet();
    const limited = endpoints[0] as EndpointStub;
    await sleep(500);
    limited.limit = String(PER_SECOND);
    const from = performance.now();
    const statuses = await sendRequests(instances, DURATION_MS);
    expect(statuses.filter(status => status !== 200)).toEqual([]);
    const stated = {perSecond: PER_SECOND, from, to: Infinity};
    const excesses = findLimitExcesses(limited.arrivedAt, [stated], SETTLE_MS);
    expect(excesses).toEqual([]);
    const used = limited.arrivedAt.filter(at => at >= from + SETTLE_MS).length;
    const allowed = (PER_SECOND * (DURATION_MS - SETTLE_MS)) / 1_000;
    expect(used).toBeGreaterThan(allowed / 2);
  });

  it('tells instances that got no response with the limit, and ends it everywhere', async () => {
    const {endpoints, instances} = await startLimitedFleet();
    const limited = endpoints[0] as EndpointStub;
    await sleep(500);
    limited.limit = String(PER_SECOND);
    await sendRequests(instances.slice(0, 1), 500);
    const getChanges = (test: TestInstance) =>
      findLines(test, 'endpoint limit changed').map(({perSecond, from}) => ({
        perSecond,
        isOwn: from === test.settings.id,
      }));
    for (const test of instances.slice(1)) {
      expect(getChanges(test)).toEqual([{perSecond: PER_SECOND, isOwn: false}]);
    }
    limited.limit = undefined;
    await sendRequests(instances.slice(0, 1), 1_500);
    for (const test of instances) {
      expect(getChanges(test).at(-1)?.perSecond).toBe('none');
    }
    const before = limited.arrivedAt.length;
    await sendRequests(instances, 2_000);
    expect(limited.arrivedAt.length - before).toBeGreaterThan(4 * PER_SECOND);
  });

  it('tells an instance that starts later before it sends a request', async () => {
    const {endpoints, instances, registry} = await startLimitedFleet();
    for (const endpoint of endpoints) endpoint.limit = '0';
    await sendRequests(instances, 1_000);
    const test = await fleet.start(registry, 4, {
      seedAddresses: [getControlAddress(1)],
    });
    await waitUntilServing(test);
    const answer = await send(test);
    expect(answer.status).toBe(503);
    const known = findLines(test, 'endpoint limit changed');
    expect(known.map(({endpoint}) => endpoint).sort()).toEqual([
      'e1',
      'e2',
      'e3',
    ]);
  });

  it('keeps a limit when a slow response to an earlier request has none', async () => {
    const {endpoint, test} = await startWithLimitedEndpoint('5');
    endpoint.handle = (req, res, stub) => {
      stub.handle = undefined;
      const headers = stub.getDefaultHeaders(req);
      delete headers[NAMES.limit[0] as string];
      setTimeout(() => res.writeHead(200, headers).end(), 800);
    };
    const slow = send(test, {id: 'slow'});
    await sleep(50);
    await send(test, {id: 'fast'});
    expect((await slow).status).toBe(200);
    const changes = findLines(test, 'endpoint limit changed');
    expect(changes.map(({perSecond}) => perSecond)).toEqual([5]);
  });

  it('refuses at once what only a limited endpoint may run', async () => {
    const {endpoint, test} = await startWithLimitedEndpoint('0');
    await send(test);
    const startedAt = performance.now();
    const answer = await send(test);
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(performance.now() - startedAt).toBeLessThan(500);
    expect(endpoint.arrivedAt).toHaveLength(1);
  });
});
