import {afterEach, describe, expect, it} from 'vitest';
import {call} from '../support/call.js';
import {ConnectControl} from '../support/connect_control.js';
import {sendRunNumber, type BackendHandler} from '../support/start_backend.js';
import {getTestPort} from '../support/get_test_port.js';
import {startSystem, type TestSystem} from '../support/start_system.js';

const SUBNET = 4;
const HOME = 0;
const OTHER = 1;
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const getInternalAddress = (host: number) =>
  `127.40.${SUBNET}.${host}:${getTestPort(1)}`;

let system: TestSystem;
let control: ConnectControl;

afterEach(async () => {
  const violations = 'primrose_invariant_violations_total';
  const count = await system.getMetric(OTHER, violations);
  await system.stopAll();
  expect(count).toBe(0);
});

async function start(handle: BackendHandler = sendRunNumber): Promise<string> {
  control = new ConnectControl();
  system = await startSystem({
    subnet: SUBNET,
    instances: 3,
    endpoints: 3,
    handle,
    connect: control.connect,
  });
  return `${await system.getKeyPrefix(HOME)}.order-1`;
}

/** Sends an order with an idempotency key through an instance. */
function sendOrder(instance: number, key: string, attempt = 2) {
  return call(`${system.getUrl(instance)}/orders`, {
    method: 'POST',
    body: 'order',
    headers: {'idempotency-key': key, 'primrose-attempt': String(attempt)},
  });
}

const getRuns = () =>
  system.backends.reduce((sum, {requests}) => sum + requests.length, 0);

const answerSlowly: BackendHandler = (req, res, run) =>
  void setTimeout(() => sendRunNumber(req, res, run), 150);

describe('a request with an idempotency key', () => {
  it('guards against a second run by a repeat through another instance while the first one runs', async () => {
    const key = await start(answerSlowly);
    const results = await Promise.all(
      [HOME, OTHER, 2, OTHER].map(instance => sendOrder(instance, key)),
    );
    expect(results.map(({status}) => status)).toEqual([200, 200, 200, 200]);
    expect(new Set(results.map(({body}) => body)).size).toBe(1);
    expect(getRuns()).toBe(1);
  });

  it('guards against a second run after the first one was answered', async () => {
    const key = await start();
    const first = await sendOrder(OTHER, key, 1);
    for (const instance of [HOME, OTHER, 2]) {
      const repeat = await sendOrder(instance, key);
      expect([repeat.status, repeat.body]).toEqual([200, first.body]);
    }
    expect(getRuns()).toBe(1);
  });

  it('guards against losing the answer of a caller whose connection broke', async () => {
    const key = await start(answerSlowly);
    const abort = new AbortController();
    const first = call(`${system.getUrl(OTHER)}/orders`, {
      method: 'POST',
      headers: {'idempotency-key': key},
      body: 'order',
      signal: abort.signal,
    });
    await sleep(50);
    abort.abort();
    await first;
    const repeat = await sendOrder(2, key);
    expect([repeat.status, repeat.body]).toEqual([200, '{"run":1}']);
    expect(getRuns()).toBe(1);
  });

  it('guards against running a repeat after an attempt with an unknown outcome', async () => {
    const key = await start((req, res) => void res.destroy());
    for (const instance of [OTHER, 2]) {
      const {status, headers} = await sendOrder(instance, key);
      expect([status, headers['primrose-outcome']]).toEqual([502, 'unknown']);
    }
    expect(getRuns()).toBe(1);
  });

  it('guards against a record that blocks a repeat of a request that did not run', async () => {
    const refuse: BackendHandler = (req, res) =>
      void res.writeHead(503, {'primrose-outcome': 'not-run'}).end();
    const key = await start(refuse);
    const refused = await sendOrder(OTHER, key);
    expect(refused.headers['primrose-outcome']).toBe('not-run');
    for (const backend of system.backends) backend.handle = sendRunNumber;
    expect((await sendOrder(2, key)).status).toBe(200);
  });

  it('guards against running a repeat after an answer that was too long to record', async () => {
    const body = 'x'.repeat(100_000);
    const key = await start((req, res) => void res.end(body));
    expect((await sendOrder(OTHER, key)).body).toBe(body);
    const {status, headers} = await sendOrder(2, key);
    expect(status).toBe(410);
    expect(headers['primrose-outcome']).toBe('answered');
    expect(headers['primrose-original-status']).toBe('200');
    expect(getRuns()).toBe(1);
  });

  it('guards against a second run or a false not-run after the home has lost its records', async () => {
    const key = await start();
    await sendOrder(OTHER, key);
    // A refused handover loses the records, as a crash of the process does.
    control.refusedAddresses.add(getInternalAddress(2));
    control.refusedAddresses.add(getInternalAddress(3));
    await system.stop(HOME);
    control.refusedAddresses.clear();
    const unreachable = await sendOrder(OTHER, key);
    expect(unreachable.headers['primrose-outcome']).toBe('unknown');
    await system.start(HOME);
    for (const instance of [OTHER, HOME]) {
      const repeat = await sendOrder(instance, key);
      expect(repeat.headers['primrose-outcome']).toBe('unknown');
    }
    expect(getRuns()).toBe(1);
  });

  it('guards against the outcome unknown for a first attempt that reached no home', async () => {
    const key = await start();
    control.refusedAddresses.add(getInternalAddress(1));
    const first = await sendOrder(OTHER, key, 1);
    expect(first.status).toBe(503);
    expect(first.headers['primrose-outcome']).toBe('not-run');
    const repeat = await sendOrder(OTHER, key);
    expect(repeat.headers['primrose-outcome']).toBe('unknown');
    expect(getRuns()).toBe(0);
  });

  it('guards against losing records in a graceful shutdown of the home', async () => {
    const key = await start(answerSlowly);
    const first = sendOrder(OTHER, key);
    await sleep(50);
    const stopped = system.stop(HOME);
    const duringStop = sendOrder(2, key);
    const {body} = await first;
    await stopped;
    expect((await duringStop).body).toBe(body);
    for (const instance of [OTHER, 2]) {
      const repeat = await sendOrder(instance, key);
      expect([repeat.status, repeat.body]).toEqual([200, body]);
    }
    await system.start(HOME);
    expect((await sendOrder(HOME, key)).body).toBe(body);
    expect(getRuns()).toBe(1);
  });
});
