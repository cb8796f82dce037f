import http from 'node:http';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {send} from '../lib/client.mjs';
import {startEndpoint} from '../lib/endpoint.mjs';
import {
  createConfiguration,
  createEntry,
  createSettings,
  hasTrouble,
  runCase,
  sleep,
  waitUntilReady,
} from '../lib/run.mjs';
import {Store} from '../lib/store.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const ZONES = {'lom-a': 'lombardia', 'lom-b': 'lombardia'};
const HOST = 'shop.example';
const DEADLINE_MS = 3_000;
const ENDPOINTS = 6;
const REQUESTS = 600;
const INTERVAL_MS = 10;
/** Bound of DENIED: 5 requests and one in 500 of all. */
const ALLOWED = 5 + REQUESTS / 500;

await runCase(FOLDER, async test => {
  const store = new Store();
  test.onClose(() => store.close());
  const gate = await store.listen(test.createHost());
  const agent = new http.Agent({keepAlive: true});
  test.onClose(() => agent.destroy());
  for (let i = 0; i < ENDPOINTS; i++) {
    const id = `i-${i}`;
    const endpoint = await startEndpoint(
      id,
      test.createHost(),
      ({requestId, reply}) => {
        test.log(`run ${requestId} at ${id}`);
        reply(200, 'order taken');
      },
    );
    test.onClose(endpoint.close);
    store.put(
      `servers/${id}`,
      createEntry({
        service: 'dispatch',
        address: endpoint.address,
        zone: Object.keys(ZONES)[i % 2],
        born: Date.now(),
      }),
    );
  }
  store.put(
    'op/config',
    createConfiguration(
      1,
      [
        {
          name: 'order',
          host: HOST,
          prefix: '/order/',
          service: 'dispatch',
          kind: 'unsafe',
          attempts: 2,
          'timeout-s': 1.2,
          'goal-s': 0.5,
          priority: 1,
        },
      ],
      [{name: 'dispatch', 'health-path': '/healthz', 'max-conns': 390}],
    ),
  );
  const instances = Object.keys(ZONES).map(zone =>
    createSettings({
      id: `front-${zone}-1`,
      host: test.createHost(),
      zone,
      store: gate.address,
      zones: ZONES,
    }),
  );
  const seeds = instances.map(({host, ports}) => `${host}:${ports.control}`);
  for (const instance of instances) test.startInstance({...instance, seeds});
  for (const instance of instances) {
    if (!(await waitUntilReady(instance))) {
      throw new TypeError(`${instance.id} is not ready`);
    }
  }
  await sleep(4_500);
  if (hasTrouble) {
    // Another writer's entry: its address cannot be read, since there is no such port.
    store.put(
      'servers/i-other',
      createEntry({
        service: 'dispatch',
        address: `${test.createHost()}:99999`,
        zone: 'lom-a',
        born: Date.now(),
      }),
    );
    test.log('another writer put servers/i-other with port 99999');
  }
  await sleep(500);
  const results = [];
  for (let i = 0; i < REQUESTS; i++) {
    const {host, ports} = instances[i % instances.length];
    const request = send({
      address: `${host}:${ports.front}`,
      host: HOST,
      path: `/order/${i}`,
      method: 'POST',
      body: 'one callout',
      deadlineMs: DEADLINE_MS,
      agent,
    });
    results.push(
      request.then(result => {
        test.log(
          `sent ${result.id}: ${result.status} ${result.end}, stamp ${result.stamp ?? 'none'}`,
        );
        return result;
      }),
    );
    await sleep(INTERVAL_MS);
  }
  const all = await Promise.all(results);
  const served = all.filter(({status}) => status === 200).length;
  const denied = all.filter(
    ({status, stamp}) =>
      stamp === undefined &&
      status >= 300 &&
      status < 500 &&
      ![408, 421, 429].includes(status),
  );
  const broken = denied.length > ALLOWED;
  return {
    broken,
    verdict: `${broken ? 'DENIED broken' : 'held'}: ${served} of ${all.length} requests served, ${denied.length} ended with ${denied[0]?.status ?? 'no 4xx'}`,
  };
});
