import http from 'node:http';
import {RequestKind} from '@primrosestage/steering';
import {afterEach, describe, expect, it} from 'vitest';
import type {DirectSettings} from '../../src/direct/index.js';
import {renderHead} from './endpoint_stub.js';
import {
  BOUNDS,
  createRoute,
  putConfiguration,
  putEndpoint,
  queryDirectory,
  send,
  sleep,
  type TestInstance,
  waitFor,
  waitUntilServing,
} from './fleet.js';
import {HalfRequest} from './half_request.js';
import {MemoryRegistry} from './memory_registry.js';
import {TestFleet} from './test_fleet.js';

/** A route on which requests outlast the stop. */
const LONG_ROUTE = createRoute({timeoutMs: 8_000});

describe('planned stop', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  it('answers every request of callers with open connections and cached directory responses', async () => {
    const registry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('e1');
    stub.delayMs = 40;
    // Requests that arrive until the listener closes end before the stop does.
    putConfiguration(registry, 1, [createRoute({timeoutMs: 500})]);
    putEndpoint(registry, stub, {slots: 50});
    const first = await fleet.start(registry, 40, withStopTimeout(4_000));
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

  // A cached directory response sends callers to a stopping instance until its listener closes.
  it('guards against aborting a request that arrives late in a planned stop', async () => {
    const route = createRoute({kind: RequestKind.Unsafe, attempts: 1});
    const {stub, instance} = await fleet.startServing(
      42,
      [route],
      withStopTimeout(1_600),
    );
    stub.delayMs = 350;
    const acceptUntil = performance.now() + 800;
    const stop = instance.instance.stop();
    const results: Promise<LateRequest>[] = [];
    for (let i = 0; performance.now() < acceptUntil + 200; i++) {
      const isLate = performance.now() > acceptUntil;
      const result = sendLate(instance, `late-${i}`);
      if (isLate) results.push(result);
      await sleep(20);
    }
    await stop;
    await instance.instance[Symbol.asyncDispose]();
    const received = await Promise.all(results);
    const isRead = ({id}: LateRequest) =>
      stub.ran.includes(id) ||
      instance.lines.some(
        ({event, fields}) => event === 'request' && fields.id === id,
      );
    const aborted = received.filter(({status}) => status === undefined);
    expect(aborted.filter(isRead)).toEqual([]);
    const refused = received.filter(({status}) => status === 503);
    expect(refused.length).toBeGreaterThan(0);
    expect(refused.filter(({id}) => stub.ran.includes(id))).toEqual([]);
  });

  // An order that waits for an endpoint at the end of the stop ends with a status, not with a reset.
  it('guards against closing connections without a response at the end of a planned stop', async () => {
    const {stub, instance} = await fleet.startServing(43, [LONG_ROUTE]);
    stub.delayMs = 5_000;
    const open = send(instance, {deadlineMs: 8_000});
    await sleep(50);
    await instance.instance.stop();
    await instance.instance[Symbol.asyncDispose]();
    expect((await open).status).toBe(502);
  });

  // A refusal at the end of the stop must stay true if the rest of the body arrives after it.
  it('guards against running a request that was refused before its body arrived', async () => {
    const {stub, instance} = await fleet.startServing(45, [LONG_ROUTE]);
    const request = new HalfRequest(instance, '/page');
    await sleep(50);
    const stop = instance.instance.stop();
    await waitFor('the request is refused', () => request.received !== '');
    request.sendRest();
    await stop;
    request.close();
    expect(request.received).toContain(' 503 ');
    expect(stub.ran).toEqual([]);
  });

  // A response without a length looks complete if its connection ends in an orderly way.
  it('guards against a streamed response that looks complete at the end of a planned stop', async () => {
    const {stub, instance} = await fleet.startServing(44, [LONG_ROUTE]);
    stub.handle = (req, _res, self) => {
      const head = renderHead('200 OK', self.getDefaultHeaders(req));
      req.socket.write(`${head}Connection: close\r\n\r\n`);
      req.socket.write('x'.repeat(2_000_000));
    };
    const open = send(instance, {deadlineMs: 8_000}).catch(() => undefined);
    await sleep(100);
    await instance.instance.stop();
    await instance.instance[Symbol.asyncDispose]();
    expect((await open)?.isComplete ?? false).toBe(false);
  });
});

function withStopTimeout(stopTimeoutMs: number): Partial<DirectSettings> {
  return {bounds: {...BOUNDS, stopTimeoutMs}};
}

interface LateRequest {
  id: string;
  /** Undefined if the connection was refused or ended without a response. */
  status?: number;
}

/** Sends a request on a new connection. */
async function sendLate(
  instance: TestInstance,
  id: string,
): Promise<LateRequest> {
  try {
    const {status} = await send(instance, {id, method: 'POST'});
    return {id, status};
  } catch {
    return {id};
  }
}
