import {afterEach, describe, expect, it} from 'vitest';
import type {EndpointStub} from './endpoint_stub.js';
import {
  createRoute,
  getControlAddress,
  putConfiguration,
  putEndpoint,
  send,
  sleep,
  type TestInstance,
  waitFor,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {TestFleet} from './test_fleet.js';

/** Requests per second that the cold endpoint tolerates from all instances together. */
const COLD_PER_SECOND = 7.2;
/** The rule's bound, with the factor and the slack of the test settings. */
const BOUND = COLD_PER_SECOND * 1.5 + 5;
const COLD_MS = 60_000;
const SECOND_MS = 1_000;
const LOAD_MS = 6_000;
const NUMBERS = [110, 111, 112, 113, 114, 115, 116];
const ZONES = ['north-a', 'south-a'];
const CALLERS_PER_INSTANCE = 4;
const PAUSE_MS = 20;

function getMostInSecond(times: readonly number[]): number {
  const counts = times.map(
    start => times.filter(at => at >= start && at < start + SECOND_MS).length,
  );
  return Math.max(0, ...counts);
}

describe('requests to a cold endpoint', () => {
  const fleet = new TestFleet();
  let registry: MemoryRegistry;
  let stub: EndpointStub;

  afterEach(() => fleet.end());

  const prepare = async () => {
    registry = new MemoryRegistry();
    stub = await fleet.startEndpoint('e1');
    const service = {coldMs: COLD_MS, coldPerSecond: COLD_PER_SECOND};
    putConfiguration(registry, 1, [createRoute({attempts: 1})], service);
    putEndpoint(registry, stub, {slots: 200, coldLeftMs: COLD_MS});
  };

  const start = (number: number): Promise<TestInstance> => {
    const zone = ZONES[number % ZONES.length] ?? '';
    return fleet.start(registry, number, {
      zone,
      region: zone.split('-')[0],
      seedAddresses: NUMBERS.slice(0, 3).map(getControlAddress),
    });
  };

  /** Sends requests to an instance from before it serves. */
  const load = async (test: TestInstance) => {
    const endAt = performance.now() + LOAD_MS;
    while (performance.now() < endAt) {
      await send(test).catch(() => undefined);
      await sleep(PAUSE_MS);
    }
  };

  const startAndLoad = async (number: number, delayMs: number) => {
    await sleep(delayMs);
    const test = await start(number);
    await Promise.all(
      Array.from({length: CALLERS_PER_INSTANCE}, () => load(test)),
    );
  };

  const expectWithinBound = () => {
    expect(stub.arrivedAt.length).toBeGreaterThan(0);
    expect(getMostInSecond(stub.arrivedAt)).toBeLessThanOrEqual(BOUND);
  };

  it.each([
    ['at once', 0],
    ['one after the other', 400],
  ])(
    'guards against more than it tolerates if all instances start %s and know few',
    async (_, stepMs) => {
      await prepare();
      await Promise.all(
        NUMBERS.map((number, i) => startAndLoad(number, i * stepMs)),
      );
      expectWithinBound();
    },
  );

  it('guards against more than it tolerates after a kill of all instances', async () => {
    await prepare();
    const instances = await Promise.all(NUMBERS.map(start));
    await waitFor(
      'all are registered',
      () =>
        instances.every(({settings}) => registry.has(`members/${settings.id}`)),
      10_000,
    );
    for (const {instance} of instances) await instance[Symbol.asyncDispose]();
    stub.arrivedAt.length = 0;
    await Promise.all(NUMBERS.map(number => startAndLoad(number, 0)));
    expectWithinBound();
  });
});
