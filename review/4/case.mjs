import http from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL, fileURLToPath} from 'node:url';
import {createId, send} from '../lib/client.mjs';
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
const ZONES = {'addis-a': 'addis', 'addis-b': 'addis', 'addis-c': 'addis'};
const HOST = 'blocks.example';
/** Bounds and the kind of request `block-order` of the site tesfaye-blocks-grown. */
const BOUNDS = {'drain-s': 3, 'touch-s': 4, 'config-s': 3, 'grace-s': 6};
const GRACE_MS = 6_000;
const TOUCH_MS = 4_000;
const DEADLINE_MS = 6_000;
const TIMEOUT_MS = 4_000;
const MEAN_WORK_MS = 1_280;
const MAX_WORK_MS = 3_840;
const WORK_SIGMA = 0.5;
/** Requests later than this after the SIGTERM are not excused by work near the end. */
const EXCUSED_SENT_MS = 3_000;
const ENDPOINTS = 6;
const CLIENTS = 600;
/** Each second client keeps a response of the directory three times as long as its ttl. */
const LONG_CACHE_FACTOR = 3;
const CLIENT_PAUSE_MS = 100;
/** Planned stops, of one instance after the other. */
const STOPS = 8;

const seed = Number(process.env.SEED ?? Date.now() % 100_000);
const random = createRandom(seed);

await runCase(FOLDER, async test => {
  test.log(`seed ${seed}`);
  const store = new Store();
  test.onClose(() => store.close());
  const gate = await store.listen(test.createHost());
  const startedRuns = new Set();
  const finishedRuns = new Set();
  for (let i = 0; i < ENDPOINTS; i++) {
    const id = `i-${i}`;
    const endpoint = await startEndpoint(
      id,
      test.createHost(),
      ({res, requestId, reply}) => {
        startedRuns.add(requestId);
        const workMs = drawWorkMs();
        test.log(`run ${requestId} at ${id}, ${Math.round(workMs)} ms of work`);
        const timer = setTimeout(() => {
          finishedRuns.add(requestId);
          reply(200, 'order taken');
        }, workMs);
        res.on('close', () => {
          if (finishedRuns.has(requestId)) return;
          clearTimeout(timer);
          test.log(`run ${requestId} at ${id} is dropped: connection closed`);
        });
      },
    );
    test.onClose(endpoint.close);
    store.put(
      `servers/${id}`,
      createEntry({
        service: 'orders',
        address: endpoint.address,
        zone: Object.keys(ZONES)[i % 3],
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
          service: 'orders',
          kind: 'unsafe',
          attempts: 2,
          'timeout-s': TIMEOUT_MS / 1_000,
          'goal-s': 0.8,
          priority: 1,
        },
      ],
      [{name: 'orders', 'health-path': '/healthz', 'max-conns': 1470}],
    ),
  );
  const instances = Object.keys(ZONES).map(zone =>
    createSettings({
      id: `front-${zone}-1`,
      host: test.createHost(),
      zone,
      store: gate.address,
      zones: ZONES,
      bounds: BOUNDS,
    }),
  );
  const seeds = instances.map(({host, ports}) => `${host}:${ports.control}`);
  const children = instances.map(instance =>
    test.startInstance({...instance, seeds}),
  );
  for (const instance of instances) {
    if (!(await waitUntilReady(instance))) {
      throw new TypeError(`${instance.id} is not ready`);
    }
  }
  await sleep(TOUCH_MS + 500);
  /** Time of the SIGTERM, by the address for callers. */
  const stoppedAt = new Map();
  const directories = instances.map(
    ({host, ports}) => `${host}:${ports.directory}`,
  );
  let isOpen = true;
  let total = 0;
  let served = 0;
  const lost = [];
  const runClient = async factor => {
    let addresses = [];
    let validUntil = 0;
    while (isOpen) {
      if (test.now >= validUntil) {
        const answer = await resolve(directories);
        if (answer) {
          addresses = answer.addrs;
          validUntil = test.now + answer['ttl-s'] * 1_000 * factor;
        }
      }
      const address = addresses[Math.floor(random() * addresses.length)];
      const id = createId();
      const sentAt = test.now;
      total++;
      const result = await send({
        id,
        address,
        host: HOST,
        path: '/order/1',
        method: 'POST',
        body: 'one block',
        deadlineMs: DEADLINE_MS,
      });
      if (result.status === 200) served++;
      const sinceStop = sentAt - (stoppedAt.get(address) ?? Infinity);
      test.log(
        `sent ${id} to ${address} at ${(sentAt / 1_000).toFixed(3)}: ${result.status} ${result.end} after ${Math.round(result.ms)} ms${sinceStop > 0 ? `, sent ${Math.round(sinceStop)} ms after its SIGTERM` : ''}`,
      );
      const isCut = result.status === 0 && result.end !== 'deadline';
      const isPassedOn = startedRuns.has(id) && !finishedRuns.has(id);
      const isCounted =
        sinceStop > EXCUSED_SENT_MS && sinceStop < GRACE_MS + 1_000;
      if (isCut && isPassedOn && isCounted && result.ms < TIMEOUT_MS) {
        lost.push({id, sinceStop, ms: result.ms});
      }
      // A client that was refused a connection forgets the address and tries another one.
      if (result.status === 0) addresses = addresses.filter(a => a !== address);
      if (addresses.length === 0) validUntil = 0;
      await sleep(random() * CLIENT_PAUSE_MS);
    }
  };
  const clients = Array.from({length: CLIENTS}, (_, i) =>
    runClient(i % 2 === 0 ? LONG_CACHE_FACTOR : 1),
  );
  await sleep(2_000);
  for (let step = 0; step < STOPS; step++) {
    const i = step % instances.length;
    const instance = instances[i];
    const address = `${instance.host}:${instance.ports.front}`;
    if (!hasTrouble) {
      await sleep(GRACE_MS + 1_000);
      continue;
    }
    test.log(`SIGTERM to ${instance.id}`);
    stoppedAt.set(address, test.now);
    const child = children[i];
    const exited = new Promise(ended => child.once('exit', ended));
    child.kill('SIGTERM');
    await Promise.race([exited, sleep(GRACE_MS)]);
    if (child.exitCode === null && child.signalCode === null) {
      child.kill('SIGKILL');
    }
    await exited;
    await sleep(1_000);
    stoppedAt.delete(address);
    children[i] = test.startInstance({...instance, seeds, bootstrap: false});
    if (!(await waitUntilReady(instance))) {
      throw new TypeError(`${instance.id} is not ready again`);
    }
    await sleep(TOUCH_MS);
  }
  isOpen = false;
  await Promise.all(clients);
  const broken = lost.length > 0;
  for (const {id, sinceStop, ms} of lost) {
    test.log(
      `lost ${id}: sent ${Math.round(sinceStop)} ms after the SIGTERM, passed on, cut after ${Math.round(ms)} ms`,
    );
  }
  return {
    broken,
    verdict: `${broken ? 'LOST broken' : 'held'}: ${served} of ${total} orders served, ${lost.length} were passed on to an endpoint and then cut by a planned stop`,
  };
});

/** Asks one instance after the other where to connect. */
async function resolve(directories) {
  const start = Math.floor(random() * directories.length);
  for (let i = 0; i < directories.length; i++) {
    const address = directories[(start + i) % directories.length];
    const answer = await ask(address);
    if (answer?.addrs?.length > 0) return answer;
  }
  await sleep(100);
  return undefined;
}

function ask(address) {
  const url = new URL(`http://${address}/primrosestage/resolve`);
  url.search = `name=${HOST}&region=addis&zone=addis-a`;
  return new Promise(done => {
    const req = http.get(url, {agent: false, timeout: 1_000}, res => {
      let text = '';
      res.on('data', chunk => (text += chunk));
      res.on('error', () => done(undefined));
      res.on('end', () =>
        done(res.statusCode === 200 ? JSON.parse(text) : undefined),
      );
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => done(undefined));
  });
}

/** Draws the time of work, with the mean and the maximum of the kind of request. */
function drawWorkMs() {
  const gauss =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const scale = MEAN_WORK_MS / Math.exp(WORK_SIGMA ** 2 / 2);
  return Math.min(MAX_WORK_MS, scale * Math.exp(WORK_SIGMA * gauss));
}

function createRandom(start) {
  let state = start >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let value = Math.imul(state ^ (state >>> 15), state | 1);
    value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
    return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
  };
}
