import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {URL} from 'node:url';
import {Case, sleep} from '../lib-3/case.mjs';
import {ClientConnection} from '../lib-3/client.mjs';
import {SMALL_BOUNDS, startStore, ZONES} from '../lib-3/deployment.mjs';
import {StandInEndpoint} from '../lib-3/endpoint.mjs';
import {Instance} from '../lib-3/instance.mjs';

const HOST = 'repairs.example';
/** `grace-s` of the deployment in large/. */
const GRACE_S = 10;
const DEADLINE_MS = 10_160;
/** Mean and largest work of an order there. */
const MEAN_WORK_MS = 2_000;
const MAX_WORK_MS = 6_000;
/** When clients with an open connection send their orders, after the SIGTERM. */
const ORDERS_AT_MS = 4_000;
const CLIENTS = 4;

const play = new Case(new URL('.', import.meta.url).pathname);

await play.run(async () => {
  const {record} = play;
  const store = await startStore(
    play,
    [
      {
        name: 'callout-book',
        host: HOST,
        prefix: '/callout/',
        kind: 'unsafe',
        'timeout-s': 10,
        'goal-s': 1.524,
        priority: 1,
        service: 'dispatch',
        attempts: 2,
        sticky: true,
        'home-regions': [],
      },
    ],
    ['dispatch'],
  );
  const host = play.createHost();
  const endpoints = [];
  for (let i = 0; i < 4; i++) {
    const endpoint = new StandInEndpoint({
      id: `i-dispatch-${i}`,
      service: 'dispatch',
      zone: i % 2 === 0 ? 'lom-a' : 'lom-b',
      slots: 5,
      store,
      record,
      respond: ({url}) => ({
        workMs: url.includes('long') ? MAX_WORK_MS - 100 : MEAN_WORK_MS,
        body: Buffer.alloc(1_500, 'd'),
      }),
    });
    await endpoint.start(host);
    play.defer(() => endpoint.stop());
    endpoints.push(endpoint);
  }
  const instance = await Instance.start({
    name: 'front-lom-a-1',
    host: play.createHost(),
    zone: 'lom-a',
    zones: ZONES,
    bounds: {...SMALL_BOUNDS, 'grace-s': GRACE_S},
    store: store.address,
    folder: play.folder,
    record,
  });
  play.defer(() => instance.stop());
  if (!(await instance.waitUntilServing())) throw new TypeError('not serving');
  const clients = [];
  for (let i = 0; i < CLIENTS; i++) {
    const client = new ClientConnection(instance.front, record);
    play.defer(() => client.close());
    await client.opened;
    clients.push(client);
  }
  const order = (client, id, path) =>
    client.send({
      id,
      method: 'POST',
      host: HOST,
      path: `/callout/${path}`,
      deadlineMs: DEADLINE_MS,
      body: 'one visit',
      headers: {Cookie: `Primrosestage-Affinity-Key=${id.slice(-1)}`},
    });
  for (let round = 0; round < 3; round++) {
    const sent = clients.map((client, i) =>
      order(client, `o-${round}-${i}`, 'usual'),
    );
    await Promise.all(sent.map(({done}) => done));
  }
  await sleep(1_000);
  if (play.isTroubled) instance.signal('SIGTERM');
  const signalledAt = performance.now();
  await sleep(ORDERS_AT_MS);
  const late = clients.map((client, i) => order(client, `o-late-${i}`, 'long'));
  await Promise.all(late.map(({done}) => done));
  const broken = late.filter(({id, answer}) => {
    const run = endpoints
      .flatMap(({runs}) => runs)
      .find(each => each.id === id);
    const isWhole = answer?.headers['primrosestage-server-stamp'] !== undefined;
    return run !== undefined && !isWhole;
  });
  for (const {id, sentAt, ms, answer} of broken) {
    record('order broken off at work', {
      request: id,
      sentAfterSignalMs: Math.round(sentAt - signalledAt),
      heldMs: ms,
      status: answer?.status,
    });
  }
  return broken.length > 0
    ? [`LOST: ${broken.length} orders sent more than 3 s after the SIGTERM`]
    : [];
});
