import {afterEach, describe, expect, it} from 'vitest';
import {
  createRoute,
  getControlAddress,
  putConfiguration,
  putEndpoint,
  send,
  sleep,
  type TestInstance,
  waitUntilServing,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {TestFleet} from './test_fleet.js';

/** Connections that the endpoint accepts from all instances together. */
const MAX_CONNECTIONS = 20;
const NUMBERS = [90, 91, 92, 93, 94, 95, 96, 97, 98, 99];
/** Requests that callers send to each instance at a time. */
const REQUESTS = 8;

describe('connections to an endpoint', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  /**
   * Starts all instances at once and loads each as soon as it serves.
   * @returns The most connections that the endpoint had at a time.
   */
  const measure = async (pauseMs: number): Promise<number> => {
    const registry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('e1');
    stub.delayMs = 100;
    const service = {maxConnections: MAX_CONNECTIONS};
    putConfiguration(registry, 1, [createRoute({attempts: 1})], service);
    putEndpoint(registry, stub, {slots: 200});
    const seedAddresses = NUMBERS.slice(0, 3).map(getControlAddress);
    let most = 0;
    const timer = setInterval(() => {
      most = Math.max(most, stub.connections);
    }, 2);
    const load = async (instance: TestInstance) => {
      await waitUntilServing(instance);
      await sleep(pauseMs);
      for (let round = 0; round < 4; round++) {
        const sent = Array.from({length: REQUESTS}, () => send(instance));
        await Promise.all(sent);
      }
    };
    const instances = await Promise.all(
      NUMBERS.map(number => fleet.start(registry, number, {seedAddresses})),
    );
    await Promise.all(instances.map(load));
    clearInterval(timer);
    return most;
  };

  it('keeps the bound once the instances know each other', async () => {
    expect(await measure(3_000)).toBeLessThanOrEqual(MAX_CONNECTIONS);
  });

  it('guards against more connections after a restart of all instances', async () => {
    expect(await measure(0)).toBeLessThanOrEqual(MAX_CONNECTIONS);
  });
});
