/** All instances are killed at once and start again while the endpoints of a service are cold. */
import http from 'node:http';
import path from 'node:path';
import {clearInterval, setInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {
  call,
  createConfiguration,
  createRequestId,
  Endpoint,
  Fleet,
  isTroubled,
  now,
  runCase,
  sleep,
  Store,
  ZONES,
} from '../lib-2/harness.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const HOST = 'tracker.example';
/** Zones of the seven instances, as in the site file. */
const INSTANCES = ['addis-a', ...Object.keys(ZONES)];
const ENDPOINTS = 4;
const COLD_S = 3;
const COLD_PER_S = 7.2;
/** cold-per-s x cold-over + cold-slack */
const COLD_BOUND = COLD_PER_S * 1.5 + 5;
const DOWN_MS = 1_000;
const ROUNDS = 5;
const REQUESTS_PER_S = 300;
const TICK_MS = 10;
const SECOND_MS = 1_000;

/** Most requests that were sent and arrived within one second. */
function getMostInSecond(requests) {
  let most = 0;
  for (const {sentAt: start} of requests) {
    const inside = requests.filter(
      ({sentAt, at}) => sentAt >= start && at < start + SECOND_MS,
    );
    most = Math.max(most, inside.length);
  }
  return most;
}

await runCase(FOLDER, async ({record, onEnd}) => {
  const store = await new Store().start();
  onEnd(() => store.stop());
  const endpoints = [];
  const zones = Object.keys(ZONES);
  for (let i = 0; i < ENDPOINTS; i++) {
    const endpoint = await new Endpoint({
      id: `i-tracker-${i}`,
      service: 'tracker',
      zone: zones[i % zones.length],
      workMs: 30,
    }).start();
    onEnd(() => endpoint.stop());
    endpoint.register(store);
    endpoints.push(endpoint);
  }
  store.put(
    'op/config',
    createConfiguration({
      routes: [
        {
          name: 'status-read',
          host: HOST,
          prefix: '/status/',
          kind: 'safe',
          'timeout-s': 1.2,
          'goal-s': 0.4,
          service: 'tracker',
        },
      ],
      services: [{name: 'tracker', 'cold-s': COLD_S, 'cold-per-s': COLD_PER_S}],
    }),
  );
  const fleet = new Fleet(store, INSTANCES);
  onEnd(() => fleet.stop());
  const {instances} = fleet;
  fleet.startAll();
  if (!(await fleet.waitAllReady())) throw new TypeError('not ready');
  await sleep(3_000);

  const agent = new http.Agent({keepAlive: true, maxSockets: 200});
  onEnd(() => agent.destroy());
  const sentAtById = new Map();
  const statuses = new Map();
  let sent = 0;
  const traffic = setInterval(() => {
    for (let i = 0; i < (REQUESTS_PER_S * TICK_MS) / SECOND_MS; i++) {
      const object = sent++ % 120;
      const requestId = createRequestId();
      sentAtById.set(requestId, now());
      void call(instances[sent % instances.length].front, {
        host: HOST,
        path: `/status/${object}`,
        object,
        requestId,
        agent,
        deadlineMs: 2_500,
      }).then(({status, error}) => {
        const key = status ?? error;
        statuses.set(key, (statuses.get(key) ?? 0) + 1);
      });
    }
  }, TICK_MS);
  onEnd(() => clearInterval(traffic));
  await sleep(3_000);

  let broken = 0;
  for (let round = 1; round <= ROUNDS; round++) {
    if (isTroubled) {
      record.write('SIGKILL to all instances');
      for (const {child} of instances) child.kill('SIGKILL');
      await Promise.all(instances.map(({exited}) => exited));
    }
    await sleep(DOWN_MS);
    // The endpoints become cold, and have said so in the store before an instance starts again.
    const coldFrom = now();
    for (const endpoint of endpoints) {
      endpoint.register(store, {'cold-left-s': COLD_S});
    }
    await sleep(50);
    if (isTroubled) for (const instance of instances) fleet.start(instance);
    // A running instance has to hear of it first.
    const countFrom = coldFrom + (isTroubled ? 0 : 500);
    await sleep(COLD_S * SECOND_MS);
    for (const {id, runs} of endpoints) {
      const requests = runs
        .filter(({at}) => at >= countFrom && at < coldFrom + 2_900)
        .map(({at, requestId}) => ({at, sentAt: sentAtById.get(requestId)}));
      const most = getMostInSecond(requests);
      if (most > COLD_BOUND) broken++;
      record.write(
        `round ${round}, ${id}: ${requests.length} requests while cold, at most ${most} in one ` +
          `second (bound ${COLD_BOUND})`,
      );
    }
    for (const endpoint of endpoints) endpoint.register(store);
    await sleep(3_000);
  }
  clearInterval(traffic);
  await sleep(500);
  record.write(`answers: ${JSON.stringify([...statuses])}`);
  record.write(`endpoints and rounds above the bound: ${broken}`);
  return broken > 0;
});
