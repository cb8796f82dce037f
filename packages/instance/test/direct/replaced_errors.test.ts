import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {EndpointStub, StubHandler} from './endpoint_stub.js';
import {
  BOUNDS,
  createRoute,
  putConfiguration,
  putEndpoint,
  send,
  sleep,
  waitFor,
  waitUntilServing,
  type TestInstance,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';
import {TestFleet} from './test_fleet.js';

/** Length of a body that is streamed, in bytes. */
const STREAMED_BYTES = 3_000_000;

const fail: StubHandler = (req, res, self) => {
  res.writeHead(500, self.getDefaultHeaders(req)).end('error body');
};
const failAtLength: StubHandler = (req, res, self) => {
  res.writeHead(500, self.getDefaultHeaders(req));
  res.end('x'.repeat(STREAMED_BYTES));
};
const respond: StubHandler = (req, res, self) => self.respond(req, res);
const refuse: StubHandler = (req, res, self) => self.refuse(req, res);
const reset: StubHandler = req => req.socket.resetAndDestroy();
const stayOpen: StubHandler = () => {};

describe('error responses of endpoints', () => {
  const fleet = new TestFleet();
  let registry: MemoryRegistry;
  let stubs: EndpointStub[];
  let instance: TestInstance;

  beforeEach(() => {
    registry = new MemoryRegistry();
  });

  afterEach(() => fleet.end());

  /** Starts endpoints and an instance with a route of three attempts. */
  const startServing = async (number: number, count: number, bounds = {}) => {
    stubs = [];
    putConfiguration(registry, 1, [createRoute({attempts: 3})]);
    for (let i = 0; i < count; i++) {
      const stub = await fleet.startEndpoint(`e${i}`);
      putEndpoint(registry, stub, {slots: 50});
      stubs.push(stub);
    }
    instance = await fleet.start(registry, number, {
      bounds: {...BOUNDS, ...bounds},
    });
    await waitUntilServing(instance);
  };

  /** Makes the attempts of the next request end as given, whichever endpoint each one reaches. */
  const handleInOrder = (...handlers: StubHandler[]) => {
    const left = [...handlers];
    for (const stub of stubs) {
      stub.handle = (req, res, self) =>
        (left.shift() ?? respond)(req, res, self);
    }
  };

  const expectError = async (length = 'error body'.length) => {
    const response = await send(instance);
    expect(response.status).toBe(500);
    expect(response.headers[NAMES.stamp]).toMatch(/^stamp-e/);
    expect(response).toMatchObject({isComplete: true});
    expect(response.body).toHaveLength(length);
  };

  const countConnections = () =>
    stubs.reduce((sum, {connections}) => sum + connections, 0);

  it('guards against a replaced error response if no other endpoint is left', async () => {
    await startServing(60, 1);
    handleInOrder(fail);
    await expectError();
  });

  it('guards against a replaced error response if the retry budget is empty', async () => {
    await startServing(61, 2, {repeatRatio: 0, repeatSlack: 0});
    handleInOrder(fail);
    await expectError();
  });

  it.each([
    ['is refused', refuse],
    ['breaks', reset],
    ['is not answered before the timeout', stayOpen],
  ])(
    'guards against a replaced error response if the retry %s',
    async (_, handler) => {
      await startServing(62, 2);
      handleInOrder(fail, handler);
      await expectError();
    },
  );

  it('guards against a replaced error response of a hedged request', async () => {
    await startServing(63, 2);
    for (let i = 0; i < 20; i++) await send(instance, {object: `warm${i}`});
    const breakLate: StubHandler = req =>
      setTimeout(() => req.socket.resetAndDestroy(), 600);
    handleInOrder(breakLate, fail);
    await expectError();
  });

  it('guards against losing a later error response of a retry', async () => {
    await startServing(64, 3);
    handleInOrder(fail, fail, refuse);
    await expectError();
  });

  it('forwards the whole body of a long error response after a failed retry', async () => {
    await startServing(65, 2);
    handleInOrder(failAtLength, reset);
    await expectError(STREAMED_BYTES);
  });

  it('closes the connection of a long error response that a retry replaces', async () => {
    await startServing(66, 2);
    handleInOrder(failAtLength, respond);
    expect((await send(instance)).status).toBe(200);
    await waitFor('one connection is left', () => countConnections() === 1);
  });

  it('closes the connection of a long error response if the caller disconnects', async () => {
    await startServing(67, 2);
    handleInOrder(failAtLength, stayOpen);
    const abort = new AbortController();
    const sent = send(instance, {signal: abort.signal}).catch(() => 'aborted');
    await waitFor('the retry has arrived', () =>
      stubs.every(({ran}) => ran.length === 1),
    );
    abort.abort();
    expect(await sent).toBe('aborted');
    await waitFor('no connection is left', () => countConnections() === 0);
  });

  it('guards against a response that never ends if a long error response is cut', async () => {
    await startServing(68, 2);
    const failAndReset: StubHandler = (req, res, self) => {
      failAtLength(req, res, self);
      setTimeout(() => req.socket.resetAndDestroy(), 150);
    };
    const breakLate: StubHandler = req =>
      setTimeout(() => req.socket.resetAndDestroy(), 400);
    handleInOrder(failAndReset, breakLate);
    const response = await send(instance);
    expect(response).toMatchObject({status: 500, isComplete: false});
  });

  it('guards against a long error response that begins at the deadline of the caller', async () => {
    await startServing(70, 2);
    handleInOrder(failAtLength, stayOpen);
    const response = await send(instance, {deadlineMs: 800});
    expect(response.status).toBe(504);
    await waitFor('no connection is left', () => countConnections() === 0);
  });

  it('guards against holding an error response beyond the deadline of the caller', async () => {
    await startServing(72, 2);
    handleInOrder(fail, stayOpen);
    const deadlineMs = 800;
    const signal = AbortSignal.timeout(deadlineMs);
    const response = await send(instance, {deadlineMs, signal});
    expect(response.status).toBe(500);
  });

  it('guards against a replaced error response at the end of a planned stop', async () => {
    await startServing(71, 2, {stopTimeoutMs: 500});
    handleInOrder(fail, stayOpen);
    const sent = send(instance);
    await waitFor('the retry has arrived', () =>
      stubs.every(({ran}) => ran.length === 1),
    );
    await instance.instance.stop();
    expect((await sent).status).toBe(500);
  });

  it('forwards the response of a retry that succeeds', async () => {
    await startServing(69, 2);
    handleInOrder(fail, respond);
    expect(await send(instance)).toMatchObject({status: 200});
    await sleep(20);
    expect(stubs.flatMap(({ran}) => ran)).toHaveLength(2);
  });
});
