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
import {TestFleet} from './test_fleet.js';

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
    const [change] = findLines(test, 'endpoint limit changed');
    expect(change).toMatchObject({
      endpoint: 'e1',
      perSecond: 5.5,
      previousPerSecond: 'none',
      from: 'instance-1',
    });
    const request = findLines(test, 'request').find(({id}) => id === 'second');
    expect(request?.attempts).toMatchObject([
      {limit: {perSecond: 5.5, from: 'instance-1'}},
    ]);
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
    return {endpoints, instances};
  }

  it('sends an endpoint no more than its limit (guards against instances that each ignore it or apply it whole)', async () => {
    const {endpoints, instances} = await startLimitedFleet();
    const limited = endpoints[0] as EndpointStub;
    await sleep(500);
    limited.limit = String(PER_SECOND);
    const from = performance.now();
    const answers: Array<Promise<CallerAnswer>> = [];
    while (performance.now() < from + DURATION_MS) {
      const target = instances[answers.length % 3] as TestInstance;
      answers.push(send(target));
      await sleep(REQUEST_INTERVAL_MS);
    }
    const statuses = (await Promise.all(answers)).map(({status}) => status);
    expect(statuses.filter(status => status !== 200)).toEqual([]);
    const stated = {perSecond: PER_SECOND, from, to: Infinity};
    const excesses = findLimitExcesses(limited.arrivedAt, [stated], SETTLE_MS);
    expect(excesses).toEqual([]);
  });
});
