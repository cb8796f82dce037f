import http from 'node:http';
import {afterEach, describe, expect, it} from 'vitest';
import {
  createRoute,
  putConfiguration,
  putEndpoint,
  queryDirectory,
  send,
  sleep,
  waitFor,
  waitUntilServing,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {TestFleet} from './test_fleet.js';

describe('planned stop', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  it('answers every request of callers with open connections and cached directory responses', async () => {
    const registry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('e1');
    stub.delayMs = 40;
    putConfiguration(registry, 1, [createRoute()]);
    putEndpoint(registry, stub, {slots: 50});
    const first = await fleet.start(registry, 40);
    const second = await fleet.start(registry, 41);
    await waitUntilServing(first);
    const {callerAddress} = first.settings;
    await waitFor('both are listed', async () =>
      (await queryDirectory(second, 'north')).includes(callerAddress),
    );
    const agent = new http.Agent({keepAlive: true});
    let isStopped = false;
    const statuses: number[] = [];
    const failed: string[] = [];
    const callers = Array.from({length: 6}, async (_, i) => {
      for (let n = 0; !isStopped; n++) {
        const id = `stop-${i}-${n}`;
        try {
          const response = await send(first, {agent, id, object: id});
          statuses.push(response.status);
        } catch (err) {
          failed.push(id);
          // Nothing was read on a refused connection, so a caller tries another instance.
          if ((err as NodeJS.ErrnoException).code === 'ECONNREFUSED') return;
        }
      }
    });
    await sleep(200);
    const stop = first.instance.stop();
    await sleep(100);
    expect(await queryDirectory(second, 'north')).not.toContain(callerAddress);
    await stop;
    isStopped = true;
    await Promise.all(callers);
    agent.destroy();
    expect(statuses.length).toBeGreaterThan(50);
    expect(new Set(statuses)).toEqual(new Set([200]));
    // A request that was sent while its connection closed must not have been read.
    const read = new Set([
      ...stub.ran,
      ...first.lines
        .filter(({event}) => event === 'request')
        .map(({fields}) => String(fields.id)),
    ]);
    expect(failed.filter(id => read.has(id))).toEqual([]);
  });
});
