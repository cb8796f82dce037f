import {afterEach, describe, expect, it} from 'vitest';
import type {EndpointStub} from './endpoint_stub.js';
import {
  createRoute,
  putConfiguration,
  putEndpoint,
  send,
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
