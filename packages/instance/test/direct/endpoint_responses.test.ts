import {once} from 'node:events';
import net from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {RequestKind} from '@primrosestage/steering';
import {EndpointStub, renderHead, type StubHandler} from './endpoint_stub.js';
import {
  createRoute,
  HOST,
  putConfiguration,
  putEndpoint,
  send,
  sleep,
  startInstance,
  waitUntilServing,
  type TestInstance,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';

describe('responses of endpoints', () => {
  const registry = new MemoryRegistry();
  let stub: EndpointStub;
  let instance: TestInstance;

  beforeEach(async () => {
    stub = await new EndpointStub('e1').start();
    putConfiguration(registry, Date.now(), [
      createRoute({attempts: 1}),
      createRoute({name: 'patient', prefix: '/patient/', timeoutMs: 0}),
      createRoute({name: 'hedged', prefix: '/hedged/', attempts: 2}),
      createRoute({
        name: 'orders',
        prefix: '/orders/',
        kind: RequestKind.Unsafe,
        attempts: 2,
      }),
    ]);
    putEndpoint(registry, stub, {bornAt: Date.now()});
    instance = await startInstance(registry, 10);
    await waitUntilServing(instance);
  });

  afterEach(async () => {
    await instance.instance[Symbol.asyncDispose]();
    await stub[Symbol.asyncDispose]();
  });

  const expectFailure = async (handle: StubHandler, path = '/page') => {
    stub.handle = handle;
    const response = await send(instance, {path});
    expect(response.status).toBe(502);
    expect(response.headers[NAMES.stamp]).toBeUndefined();
  };

  it('forwards status, headers and body', async () => {
    const response = await send(instance);
    expect(response).toMatchObject({status: 200, body: 'answer of e1'});
    expect(response.headers[NAMES.stamp]).toBe('stamp-e1');
  });

  it('opens a span for the request and for each attempt', async () => {
    let traceParent: string | string[] | undefined;
    stub.handle = (req, res, self) => {
      traceParent = req.headers.traceparent;
      self.respond(req, res);
    };
    await send(instance);
    expect(traceParent).toBe('within-backend');
    expect(instance.spans).toMatchObject([
      {
        step: 'backend',
        peer: 'e1',
        parent: 'within-ingress',
        outcome: 'answered',
      },
      {step: 'ingress', parent: undefined, outcome: 'endpoint'},
    ]);
  });

  it('guards against a truncated response that looks complete', () =>
    expectFailure((req, res, self) => {
      res.writeHead(200, {
        ...self.getDefaultHeaders(req),
        'content-length': '100',
      });
      res.write('short');
      setTimeout(() => res.destroy(), 20);
    }));

  it('guards against a reset response without a length that looks complete', () =>
    expectFailure((req, res, self) => {
      const head = renderHead('200 OK', self.getDefaultHeaders(req));
      const socket = req.socket;
      socket.write(`${head}Connection: close\r\n\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    }));

  // Without a length, the orderly close by the kernel after a kill would look like its end.
  it('states the length of a response that ends with its connection', async () => {
    stub.handle = (req, _res, self) => {
      const head = renderHead('200 OK', self.getDefaultHeaders(req));
      req.socket.end(`${head}Connection: close\r\n\r\nwhole`);
    };
    const response = await send(instance);
    expect(response).toMatchObject({status: 200, body: 'whole'});
    expect(response.headers['content-length']).toBe('5');
  });

  it('guards against the response to another request', () =>
    expectFailure((req, res, self) => {
      const headers = self.getDefaultHeaders(req);
      res.writeHead(200, {...headers, [NAMES.requestId]: 'other'}).end('x');
    }));

  it('guards against a success without the stamp', () =>
    expectFailure((req, res) => {
      const id = String(req.headers[NAMES.requestId]);
      res.writeHead(200, {[NAMES.requestId]: id}).end('x');
    }));

  it('guards against a 503 response without the not-run header', () =>
    expectFailure((req, res, self) => {
      res.writeHead(503, self.getDefaultHeaders(req)).end();
    }));

  // Node.js reads these heads but refuses to write them, which left the caller without a response.
  it.each([
    ['a status of zeros', '000 OK', 'x-extra: 1'],
    ['an interim status', '101 Switching', 'x-extra: 1'],
    ['a header without a name', '200 OK', ': 1'],
    ['a space after a header name', '200 OK', 'x-extra : 1'],
  ])(
    'guards against a request that is never answered after %s',
    async (_, status, extraHeader) =>
      expectFailure((req, _res, self) => {
        const head = renderHead(status, self.getDefaultHeaders(req));
        req.socket.end(
          `${head}${extraHeader}\r\ncontent-length: 5\r\n\r\nwhole`,
        );
      }),
  );

  it('forwards a header that is named like a property of objects', async () => {
    let received: unknown;
    stub.handle = (req, res, self) => {
      received = req.headers.constructor;
      res.writeHead(200, {
        ...self.getDefaultHeaders(req),
        'x-constructor': '1',
      });
      res.end();
    };
    await send(instance, {headers: {constructor: 'plain'}});
    expect(received).toBe('plain');
  });

  it('guards against extra bytes that become the response to the next request', async () => {
    stub.handle = (req, res, self) => {
      self.respond(req, res);
      const late = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra';
      setTimeout(() => req.socket.write(late), 15);
    };
    expect((await send(instance)).status).toBe(200);
    await sleep(60);
    stub.handle = undefined;
    expect(await send(instance)).toMatchObject({
      status: 200,
      body: 'answer of e1',
    });
  });

  it('guards against a second run of an unsafe request after a reset', async () => {
    await expectFailure(req => req.socket.resetAndDestroy(), '/orders/1');
    expect(stub.ran).toHaveLength(1);
  });

  it('hedges an idempotent request if the first endpoint does not respond', async () => {
    const second = await new EndpointStub('e2').start();
    putEndpoint(registry, second, {bornAt: Date.now()});
    await sleep(150);
    for (let i = 0; i < 20; i++) await send(instance, {object: `warm${i}`});
    stub.handle = () => {};
    for (let i = 0; i < 20; i++) {
      const response = await send(instance, {
        path: '/hedged/1',
        object: `warm${i}`,
      });
      expect(response).toMatchObject({status: 200, body: 'answer of e2'});
    }
    registry.set('endpoints/e2');
    await second[Symbol.asyncDispose]();
  });

  // The endpoint writes an earlier refusal once more while it runs the next request.
  it.each([
    ['without an id', ''],
    ['with the id of the refused request', `${NAMES.requestId}: refused\r\n`],
  ])(
    'guards against a refusal %s that is taken for one of the next request',
    async (_, idLine) => {
      const second = await new EndpointStub('e2').start();
      putEndpoint(registry, second, {bornAt: Date.now()});
      await sleep(150);
      const refusal = `HTTP/1.1 503 Busy\r\n${NAMES.notRun}: 1\r\n${idLine}Content-Length: 0\r\n\r\n`;
      for (const each of [stub, second]) {
        each.handle = (req, res, self) => self.refuse(req, res);
      }
      await send(instance, {path: '/orders/1', method: 'POST', id: 'refused'});
      for (const each of [stub, second]) {
        each.handle = req => req.socket.write(refusal);
      }
      const response = await send(instance, {
        path: '/orders/1',
        method: 'POST',
        id: 'running',
      });
      expect([...stub.ran, ...second.ran]).toEqual(['running']);
      expect(response.status).toBe(502);
      registry.set('endpoints/e2');
      await second[Symbol.asyncDispose]();
    },
  );

  // Where no other endpoint has room, the caller got 503, "not run", for an order that was running.
  it('guards against a false refusal of an order that no other endpoint can take', async () => {
    const path = '/orders/1';
    stub.handle = (req, res, self) => self.refuse(req, res);
    await send(instance, {path, method: 'POST'});
    stub.handle = req =>
      req.socket.write(
        `HTTP/1.1 503 Busy\r\n${NAMES.notRun}: 1\r\nContent-Length: 0\r\n\r\n`,
      );
    const {status} = await send(instance, {path, method: 'POST'});
    expect(stub.ran).toHaveLength(1);
    expect(status).toBe(502);
  });

  // The address was taken for a mistake of the caller, whose order got 400.
  it('guards against blaming the caller for an endpoint with an unusable address', async () => {
    putEndpoint(registry, {id: 'e0', address: '127.0.0.1:99999'});
    await sleep(150);
    const statuses = new Set<number>();
    for (let i = 0; i < 20; i++) {
      const object = `odd-${i}`;
      const path = '/orders/1';
      const {status} = await send(instance, {path, method: 'POST', object});
      statuses.add(status);
    }
    registry.set('endpoints/e0');
    expect(statuses).toEqual(new Set([200]));
  });

  it('responds 503 with retry-after if the endpoint refuses', async () => {
    stub.handle = (req, res, self) => self.refuse(req, res);
    const response = await send(instance, {path: '/orders/1', method: 'POST'});
    expect(response.status).toBe(503);
    expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
    expect(Number(response.headers['retry-after'])).toBeLessThan(0.7);
  });

  it('limits the deadline of the endpoint by those of the caller and the route', async () => {
    await send(instance, {deadlineMs: 300});
    await send(instance, {deadlineMs: 9_000});
    expect(stub.deadlines[0]).toBeLessThanOrEqual(300);
    expect(stub.deadlines[1]).toBeLessThanOrEqual(1_000);
  });

  it('cancels the request of a caller that has disconnected', async () => {
    stub.delayMs = 600;
    const abort = new AbortController();
    const aborted = send(instance, {signal: abort.signal}).catch(
      () => 'aborted',
    );
    await sleep(100);
    abort.abort();
    expect(await aborted).toBe('aborted');
    await sleep(100);
    expect(stub.aborted).toHaveLength(1);
  });

  it('guards against forwarding requests of callers that disconnected during a stall', async () => {
    const [host, port] = instance.settings.callerAddress.split(':');
    const sockets = await Promise.all(
      Array.from({length: 5}, async () => {
        const socket = net.connect({host, port: Number(port)});
        socket.on('error', () => {});
        await once(socket, 'connect');
        return socket;
      }),
    );
    await sleep(50);
    const head = `GET /page HTTP/1.1\r\nHost: ${HOST}\r\n${NAMES.deadlineMs}: 2000\r\n`;
    for (const [i, socket] of sockets.entries()) {
      socket.write(`${head}${NAMES.requestId}: left-${i}\r\n\r\n`);
      socket.end();
    }
    // Request and end of the connection are both pending when the event loop resumes.
    await new Promise(resolve => setImmediate(resolve));
    const blockedUntil = performance.now() + 100;
    while (performance.now() < blockedUntil);
    await sleep(200);
    expect(stub.ran).toEqual([]);
  });

  it('guards against a header that exceeds the configured limit', async () => {
    const accepted = await send(instance, {object: 'o'.repeat(15_000)});
    expect(accepted.status).toBe(200);
    const refused = await send(instance, {object: 'o'.repeat(17_000)});
    expect(refused.status).toBe(431);
    expect(stub.ran).toHaveLength(1);
  });

  // A delay beyond the range of a timer counts as 1 ms, so that such callers got 504 at once.
  it('guards against a timeout at once for a caller with a very long deadline', async () => {
    stub.delayMs = 100;
    const path = '/patient/1';
    const response = await send(instance, {path, deadlineMs: 1e12});
    expect(response.status).toBe(200);
  });

  it('responds 504 at the timeout of the route', async () => {
    stub.delayMs = 3_000;
    const startedAt = performance.now();
    const response = await send(instance, {deadlineMs: 5_000});
    expect(response.status).toBe(504);
    expect(performance.now() - startedAt).toBeLessThan(1_300);
  });

  it('forwards a request body unchanged', async () => {
    const body = 'b'.repeat(70_000);
    await send(instance, {path: '/orders/1', method: 'POST', body});
    expect(stub.bodies).toEqual([body]);
  });

  it('streams a response that is too long to be buffered', async () => {
    stub.handle = (req, res, self) => {
      res.writeHead(200, self.getDefaultHeaders(req));
      res.end('x'.repeat(3_000_000));
    };
    const response = await send(instance);
    expect(response.body).toHaveLength(3_000_000);
  });

  it('forwards the content length of a response to HEAD, without a body', async () => {
    stub.handle = (req, res, self) => {
      res.writeHead(200, {
        ...self.getDefaultHeaders(req),
        'content-length': '42',
      });
      res.end();
    };
    const response = await send(instance, {method: 'HEAD'});
    expect(response).toMatchObject({status: 200, body: ''});
    expect(response.headers['content-length']).toBe('42');
  });

  it('aborts a streamed response if the endpoint resets its connection', async () => {
    stub.handle = (req, res, self) => {
      res.writeHead(200, self.getDefaultHeaders(req));
      res.write('x'.repeat(3_000_000));
      setTimeout(() => req.socket.resetAndDestroy(), 100);
    };
    const response = await send(instance).catch(() => undefined);
    expect(response?.isComplete ?? false).toBe(false);
  });

  it('responds 404 to a request that matches no route', async () => {
    expect((await send(instance, {host: 'none.example'})).status).toBe(404);
  });
});
