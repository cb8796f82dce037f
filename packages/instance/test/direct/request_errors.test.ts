import http from 'node:http';
import {RequestKind} from '@primrosestage/steering';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {EndpointSelector} from '../../src/direct/place/endpoint_selector.js';
import type {EndpointStub} from './endpoint_stub.js';
import {createRoute, send, sleep, type TestInstance, waitFor} from './fleet.js';
import {HalfRequest} from './half_request.js';
import {NAMES} from './names.js';
import {TestFleet} from './test_fleet.js';

describe('unexpected errors on the way of a request', () => {
  const fleet = new TestFleet();
  let stub: EndpointStub;
  let instance: TestInstance;

  beforeEach(async () => {
    ({stub, instance} = await fleet.startServing(46, [
      createRoute({attempts: 1}),
      createRoute({
        name: 'orders',
        prefix: '/orders/',
        kind: RequestKind.Unsafe,
      }),
    ]));
  });

  afterEach(async () => {
    vi.restoreAllMocks();
    await fleet.end();
  });

  const fail = () => {
    throw new TypeError('unexpected');
  };

  // The request had been refused with 400, as if its caller had made a mistake.
  it('guards against blaming the caller for an error before the request is sent', async () => {
    vi.spyOn(EndpointSelector.prototype, 'select').mockImplementation(fail);
    const response = await send(instance, {path: '/orders/1', method: 'POST'});
    expect(response.status).toBe(503);
    expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
    expect(stub.ran).toEqual([]);
  });

  // An error of a statistic must not replace what the endpoint answered.
  it('guards against losing a response because it cannot be recorded', async () => {
    vi.spyOn(EndpointSelector.prototype, 'observeResponse').mockImplementation(
      fail,
    );
    const response = await send(instance, {path: '/orders/1', method: 'POST'});
    expect(response).toMatchObject({status: 200, body: 'answer of e1'});
  });

  // The request ran, so that neither 400 nor 503 is true, and the endpoint's stamp belongs to 200.
  it('guards against a request without a response because it cannot be written', async () => {
    const {writeHead} = http.ServerResponse.prototype;
    vi.spyOn(http.ServerResponse.prototype, 'writeHead').mockImplementation(
      function (this: http.ServerResponse, ...args) {
        if (args[0] === 200 && this.socket?.localPort === getPort(instance)) {
          this.setHeader(NAMES.stamp, 'stamp-e1');
          fail();
        }
        return writeHead.apply(this, args as Parameters<typeof writeHead>);
      },
    );
    const response = await send(instance, {path: '/orders/1', method: 'POST'});
    expect(response.status).toBe(502);
    expect(response.headers[NAMES.stamp]).toBeUndefined();
    expect(stub.ran).toHaveLength(1);
  });

  // An answer that cannot be written at all ends with its connection.
  it('guards against an open connection because no status can be written', async () => {
    const {writeHead} = http.ServerResponse.prototype;
    vi.spyOn(http.ServerResponse.prototype, 'writeHead').mockImplementation(
      function (this: http.ServerResponse, ...args) {
        if (this.socket?.localPort === getPort(instance)) fail();
        return writeHead.apply(this, args as Parameters<typeof writeHead>);
      },
    );
    await expect(send(instance)).rejects.toThrow();
  });

  // Without a timeout for the body, the request had no response until its caller gave up.
  it('guards against a request without a response because its body stops', async () => {
    const request = new HalfRequest(instance, '/orders/1');
    await waitFor('the connection is closed', () => request.isClosed);
    await sleep(50);
    expect(request.received).toContain(' 503 ');
    expect(stub.ran).toEqual([]);
  });
});

describe('the directory', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  // A target that is no URL threw out of the server, and its caller had no response.
  it('guards against a request without a response because of its target', async () => {
    const {instance} = await fleet.startServing(48, [createRoute()]);
    const [host, port] = instance.settings.directoryAddress.split(':');
    const status = await new Promise(resolve => {
      http
        .get({host, port, path: '//', agent: false}, res =>
          resolve(res.statusCode),
        )
        .on('error', resolve);
    });
    expect(status).toBe(404);
  });
});

function getPort(instance: TestInstance): number {
  return Number(instance.settings.callerAddress.split(':')[1]);
}
