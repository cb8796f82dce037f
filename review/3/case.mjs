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
const TIMEOUT_MS = 1_200;
/** Time after the route's timeout at which a request counts as unanswered. */
const GRACE_MS = 500;
const DEADLINE_MS = 2_500;
/** Share of the endpoints that spoil answers, share of their answers, and duration. */
const ENDPOINTS = 5;
const FAULTY_ENDPOINTS = 3;
const SPOILED_SHARE = 0.05;
const TROUBLE_MS = 5_500;
const INTERVAL_MS = 10;
const MIN_UNANSWERED = 8;

/** Spoils the head of an answer: a status of zeros, a header without a name, a name with a space. */
const SPOILERS = [
  head => head.replace('HTTP/1.1 200', 'HTTP/1.1 000'),
  head => head.replace('Content-Type:', ':'),
  head => head.replace('Content-Type:', 'Content-Type :'),
];

await runCase(FOLDER, async test => {
  const store = new Store();
  test.onClose(() => store.close());
  const gate = await store.listen(test.createHost());
  const spoiledIds = new Set();
  const agent = new http.Agent({keepAlive: true});
  test.onClose(() => agent.destroy());
  let isFaulty = false;
  let answers = 0;
  const ids = Array.from({length: ENDPOINTS}, (_, i) => `i-${i}`);
  for (const [i, id] of ids.entries()) {
    const endpoint = await startEndpoint(
      id,
      test.createHost(),
      ({req, requestId, stamp, reply}) => {
        const isSpoiling = isFaulty && i < FAULTY_ENDPOINTS;
        // Each twentieth answer of the faulty endpoints is spoiled.
        if (!isSpoiling || ++answers % (1 / SPOILED_SHARE) !== 0) {
          test.log(`run ${requestId} at ${id}`);
          reply(200, 'whole body');
          return;
        }
        const spoil = SPOILERS[spoiledIds.size % SPOILERS.length];
        spoiledIds.add(requestId);
        test.log(`run ${requestId} at ${id}, spoiled answer`);
        const head =
          'HTTP/1.1 200 OK\r\n' +
          `Primrosestage-Request-Id: ${requestId}\r\n` +
          `Primrosestage-Server-Stamp: ${stamp}\r\n` +
          'Content-Type: text/plain\r\nContent-Length: 10\r\n' +
          'Connection: close\r\n\r\n';
        req.socket.end(`${spoil(head)}whole body`);
      },
    );
    test.onClose(endpoint.close);
    store.put(`servers/${id}`, {
      ...createEntry({
        service: 'orders',
        address: endpoint.address,
        zone: i % 2 === 0 ? 'lom-a' : 'lom-b',
        born: Date.now(),
      }),
    });
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
          service: 'orders',
          kind: 'unsafe',
          attempts: 2,
          'timeout-s': TIMEOUT_MS / 1_000,
          'goal-s': 0.5,
          priority: 1,
        },
        {
          name: 'status',
          host: HOST,
          prefix: '/status/',
          service: 'orders',
          kind: 'safe',
          attempts: 2,
          'timeout-s': TIMEOUT_MS / 1_000,
          'goal-s': 0.4,
          priority: 2,
        },
      ],
      [{name: 'orders', 'health-path': '/healthz', 'max-conns': 390}],
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
  for (const instance of instances) {
    test.startInstance({...instance, seeds});
  }
  for (const instance of instances) {
    if (!(await waitUntilReady(instance))) {
      throw new TypeError(`${instance.id} is not ready`);
    }
  }
  // The instances are in touch and know each other.
  await sleep(4_500);
  isFaulty = hasTrouble;
  test.log(hasTrouble ? 'endpoints begin to spoil answers' : 'no disruption');
  const results = [];
  for (let i = 0; i * INTERVAL_MS < TROUBLE_MS; i++) {
    const {host, ports} = instances[i % instances.length];
    const isOrder = i % 4 < 2;
    const request = send({
      address: `${host}:${ports.front}`,
      host: HOST,
      path: isOrder ? `/order/${i}` : `/status/${i}`,
      method: isOrder ? 'POST' : 'GET',
      body: isOrder ? 'one block' : undefined,
      deadlineMs: DEADLINE_MS,
      agent,
    });
    results.push(
      request.then(result => {
        test.log(
          `sent ${result.id} ${isOrder ? 'order' : 'status'}: ${result.status} ${result.end} after ${Math.round(result.ms)} ms`,
        );
        return result;
      }),
    );
    await sleep(INTERVAL_MS);
  }
  isFaulty = false;
  const all = await Promise.all(results);
  const late = all.filter(({ms}) => ms > TIMEOUT_MS + 50);
  const unanswered = late.filter(({ms}) => ms > TIMEOUT_MS + GRACE_MS);
  const broken =
    unanswered.length >= MIN_UNANSWERED && unanswered.length > late.length / 4;
  return {
    broken,
    verdict: `${broken ? 'CONFIG broken' : 'held'}: ${all.length} requests, ${spoiledIds.size} spoiled answers, ${late.length} requests beyond the route's timeout, ${unanswered.length} of them without an answer ${GRACE_MS} ms after it`,
  };
});
