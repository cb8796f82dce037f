import {Buffer} from 'node:buffer';
import {URL} from 'node:url';
import {Case, sleep} from '../lib-3/case.mjs';
import {ClientConnection} from '../lib-3/client.mjs';
import {SMALL_BOUNDS, startStore, ZONES} from '../lib-3/deployment.mjs';
import {StandInEndpoint} from '../lib-3/endpoint.mjs';
import {Instance} from '../lib-3/instance.mjs';

const HOST = 'repairs.example';
const CLIENTS = 4;
const ORDERS = 5;
const ORDER_WORK_MS = 640;
const DEADLINE_MS = 3_000;
/** Header fields of a request beside the usual ones, with the disruption and without it. */
const MANY_FIELDS = 1_000;
const FEW_FIELDS = 20;

const play = new Case(new URL('.', import.meta.url).pathname);

/** Returns short header fields; 1,000 of them have some 12,000 bytes. */
function createFields(count) {
  return Object.fromEntries(
    Array.from({length: count}, (_, i) => [`X-Tag-${i}`, 'a']),
  );
}

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
        'timeout-s': 3,
        'goal-s': 0.5,
        priority: 1,
        service: 'dispatch',
        attempts: 2,
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
      slots: 3,
      store,
      record,
      respond: () => ({workMs: ORDER_WORK_MS, body: Buffer.alloc(1_500, 'd')}),
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
    bounds: SMALL_BOUNDS,
    store: store.address,
    folder: play.folder,
    record,
  });
  play.defer(() => instance.stop());
  if (!(await instance.waitUntilServing())) throw new TypeError('not serving');
  await sleep(1_000);
  const headers = createFields(play.isTroubled ? MANY_FIELDS : FEW_FIELDS);
  const orders = [];
  const placeOrders = async number => {
    const client = new ClientConnection(instance.front, record);
    play.defer(() => client.close());
    await client.opened;
    for (let i = 0; i < ORDERS; i++) {
      const id = `o-${number}-${i}`;
      const body = `one visit for caller ${number}, item ${i}`;
      const order = client.send({
        id,
        method: 'POST',
        host: HOST,
        path: `/callout/${id}`,
        deadlineMs: DEADLINE_MS,
        headers,
        body,
      });
      orders.push({order, body});
      await order.done;
      if (!order.answer) return;
    }
  };
  await Promise.all(Array.from({length: CLIENTS}, (_, i) => placeOrders(i)));
  const runs = endpoints.flatMap(each => each.runs);
  const changed = [];
  for (const {order, body} of orders) {
    const run = runs.find(({id}) => id === order.id);
    if (!run || run.received === body) continue;
    changed.push(order.id);
    record('order runs with another body', {
      request: order.id,
      sent: body,
      received: run.received,
      status: order.answer?.status,
      stamp: order.answer?.headers['primrosestage-server-stamp'],
    });
  }
  record('orders', {
    sent: orders.length,
    headBytes: orders[0].order.headBytes,
    run: orders.filter(({order}) => runs.some(({id}) => id === order.id))
      .length,
    answered: orders.filter(({order}) => order.answer?.status === 200).length,
  });
  if (orders.some(({order}) => order.answer?.status !== 200) && !changed.length)
    record('some orders were not served', {});
  return changed.length > 0
    ? [`UNASKED: ${changed.length} orders ran with their body changed`]
    : [];
});
