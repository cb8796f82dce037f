import http from 'node:http';
import net from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {call} from '../support/call.js';
import {sendRunNumber, type BackendHandler} from '../support/start_backend.js';
import {startSystem, type TestSystem} from '../support/start_system.js';

const SUBNET = 3;
const MB = 1024 * 1024;
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

let system: TestSystem;

afterEach(async () => {
  const violations = 'primrose_invariant_violations_total';
  const count = await system.getMetric(0, violations);
  await system.stopAll();
  expect(count).toBe(0);
});

async function start(
  handle: BackendHandler,
  options: {
    endpoints?: number;
    slots?: number;
    progressTimeoutMs?: number;
  } = {},
): Promise<string> {
  const {progressTimeoutMs = 400, ...rest} = options;
  system = await startSystem({
    subnet: SUBNET,
    handle,
    ...rest,
    timing: {progressTimeoutMs, probeIntervalMs: 200, slowStartMs: 500},
  });
  return `${system.getUrl(0)}/x`;
}

function refuse(req: http.IncomingMessage, res: http.ServerResponse): void {
  const id = req.headers['primrose-request-id'];
  res.writeHead(503, {
    'primrose-outcome': 'not-run',
    'primrose-request-id': id,
  });
  res.end();
}

const getRuns = () =>
  system.backends.reduce((sum, {requests}) => sum + requests.length, 0);

describe('a request whose endpoint fails', () => {
  it('guards against refusing a request because one endpoint is down', async () => {
    const url = await start(sendRunNumber, {endpoints: 2});
    await system.backends[0]!.stop();
    for (let i = 0; i < 6; i++) {
      const {status} = await call(url, {method: 'POST', body: 'order'});
      expect(status).toBe(200);
    }
    expect(getRuns()).toBe(6);
  });

  it('guards against retrying a non-idempotent request after its endpoint failed during the run', async () => {
    const url = await start((req, res) => void res.destroy(), {endpoints: 2});
    const {status, headers} = await call(url, {method: 'POST', body: 'order'});
    expect(status).toBe(502);
    expect(headers['primrose-outcome']).toBe('unknown');
    expect(getRuns()).toBe(1);
  });

  it('guards against an unknown outcome of an idempotent request that can be retried', async () => {
    const url = await start(
      (req, res, run) =>
        run === 1 && req.socket.localAddress?.endsWith('.100')
          ? void res.destroy()
          : sendRunNumber(req, res, run),
      {endpoints: 2},
    );
    for (let i = 0; i < 4; i++) expect((await call(url)).status).toBe(200);
  });

  it('guards against losing an answer because the endpoint closes the connection after it', async () => {
    const url = await start((req, res) => {
      res.setHeader('connection', 'close');
      res.end('done');
    });
    for (let i = 0; i < 3; i++) {
      const {status, body} = await call(url, {method: 'POST', body: 'order'});
      expect([status, body]).toEqual([200, 'done']);
    }
  });

  it('guards against an answer truncated after its headers that looks complete', async () => {
    const url = await start((req, res) => {
      res.write('half');
      setTimeout(() => res.destroy(), 20);
    });
    const result = await call(url);
    expect(result).toMatchObject({status: 200, body: 'half'});
    expect(result.err).toBeDefined();
  });

  it('guards against treating a refusal by an endpoint as a run, and against not trying another endpoint', async () => {
    const url = await start(
      (req, res, run) => {
        if (!req.socket.localAddress?.endsWith('.100')) {
          sendRunNumber(req, res, run);
          return;
        }
        refuse(req, res);
      },
      {endpoints: 2},
    );
    for (let i = 0; i < 4; i++) {
      expect((await call(url, {method: 'POST', body: 'a'})).status).toBe(200);
    }
    await system.backends[1]!.stop();
    const refused = await call(url, {method: 'POST', body: 'a'});
    expect(refused.status).toBe(503);
    expect(refused.headers['primrose-outcome']).toBe('not-run');
  });

  // The endpoint writes the refusal of an earlier request again while it runs this one.
  it('guards against a refusal without an id on a connection that was used before', async () => {
    const url = await start((req, res, run) => {
      if (run === 1) sendRunNumber(req, res, run);
      else res.writeHead(503, {'primrose-outcome': 'not-run'}).end();
    });
    await call(url, {method: 'POST', body: 'a'});
    const {status, headers} = await call(url, {method: 'POST', body: 'b'});
    expect([status, headers['primrose-outcome']]).toEqual([502, 'unknown']);
  });

  // The endpoint writes its answer to the first sending again while it runs the second one.
  it('guards against taking a copy of an answer for the answer to the same id sent again', async () => {
    const url = await start((req, res, run) => {
      const headers = {'primrose-request-id': 'q-1', 'content-length': '0'};
      if (run === 1) return void res.writeHead(503, headers).end();
      if (req.socket === system.backends[0]!.requests[0]!.socket) {
        req.socket.write(
          'HTTP/1.1 503 Busy\r\nprimrose-request-id: q-1\r\ncontent-length: 0\r\n\r\n',
        );
      }
      return sendRunNumber(req, res, run);
    });
    const sendOrder = () =>
      call(url, {
        method: 'POST',
        body: 'order',
        headers: {'primrose-request-id': 'q-1'},
      });
    expect((await sendOrder()).status).toBe(503);
    expect((await sendOrder()).status).toBe(200);
    expect(getRuns()).toBe(2);
  });

  it('guards against a connection kept after a refusal, on which a copy of it could follow', async () => {
    const url = await start((req, res, run) => {
      if (run === 1) refuse(req, res);
      else sendRunNumber(req, res, run);
    });
    const sendOrder = () => call(url, {method: 'POST', body: 'order'});
    expect((await sendOrder()).status).toBe(503);
    expect((await sendOrder()).status).toBe(200);
    const [first, second] = system.backends[0]!.requests;
    expect(first!.socket).not.toBe(second!.socket);
  });

  it.each([
    ['stalls', ''],
    ['is malformed', 'rubbish\r\n'],
  ])(
    'guards against an error status of the caller after its body has been sent on in part and %s',
    async (_, rest) => {
      await start(req => void req.resume());
      const {hostname, port} = new URL(system.getUrl(0));
      const part = `20000\r\n${'x'.repeat(0x20000)}\r\n`;
      const received = await new Promise<string>(resolve => {
        let text = '';
        const socket = net.connect(Number(port), hostname, () => {
          socket.write(
            'POST /v1/requests/t/s/x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n',
          );
          socket.write(part);
          setTimeout(() => socket.write(rest), 100);
        });
        socket.on('data', data => {
          text += data.toString();
          socket.end();
        });
        socket.on('error', () => {});
        socket.on('close', () => resolve(text));
      });
      expect(getRuns()).toBe(1);
      expect(received).toMatch(/^$|^HTTP\/1.1 502 /);
    },
  );

  it('guards against resending a body that was already streamed', async () => {
    const url = await start(
      (req, res) => {
        refuse(req, res);
      },
      {endpoints: 2},
    );
    const body = Buffer.alloc(MB);
    const {status, headers} = await call(url, {method: 'POST', body});
    expect(status).toBe(503);
    expect(headers['primrose-outcome']).toBe('not-run');
    expect(getRuns()).toBe(1);
  });

  it('guards against a body that is altered or truncated on its way to the endpoint', async () => {
    const url = await start((req, res) => {
      let bytes = 0;
      req.on('data', (chunk: Buffer) => (bytes += chunk.length));
      req.on('end', () => res.end(String(bytes)));
    });
    for (const size of [0, 1, 65_536, 65_537, 3 * MB]) {
      const body = Buffer.alloc(size);
      expect((await call(url, {method: 'POST', body})).body).toBe(String(size));
      const headers = {'transfer-encoding': 'chunked'};
      for (const method of ['PUT', 'DELETE']) {
        const chunked = await call(url, {method, body, headers});
        expect(chunked.body).toBe(String(size));
      }
    }
  });

  it('guards against new requests to an endpoint that reports draining in an answer', async () => {
    const url = await start(
      (req, res, run) => {
        if (req.socket.localAddress?.endsWith('.100')) {
          res.setHeader('primrose-draining', '1');
        }
        sendRunNumber(req, res, run);
      },
      {endpoints: 2},
    );
    for (let i = 0; i < 10; i++) expect((await call(url)).status).toBe(200);
    expect(system.backends[0]!.requests).toHaveLength(1);
  });

  it('guards against new requests to an endpoint that reports draining in a health probe', async () => {
    const url = await start(sendRunNumber);
    system.backends[0]!.isDraining = true;
    await sleep(500);
    const refused = await call(url);
    expect(refused.status).toBe(503);
    expect(refused.headers['primrose-outcome']).toBe('not-run');
    system.backends[0]!.isDraining = false;
    await sleep(500);
    expect((await call(url)).status).toBe(200);
  });

  it('guards against waiting for a silent endpoint, and against using its slot twice', async () => {
    const url = await start(() => {}, {slots: 1});
    const options = {method: 'POST', headers: {'primrose-deadline-ms': '2000'}};
    const startedAt = Date.now();
    const silent = await call(url, options);
    expect(silent.status).toBe(502);
    expect(silent.headers['primrose-outcome']).toBe('unknown');
    expect(Date.now() - startedAt).toBeLessThan(1_200);
    // By then a probe has found the endpoint healthy, but it is still running the first request.
    await sleep(1_000);
    expect(Date.now() - startedAt).toBeLessThan(1_900);
    const second = await call(url, options);
    expect(second.headers['primrose-outcome']).toBe('not-run');
    expect(getRuns()).toBe(1);
  });
});

describe('a request whose caller fails', () => {
  it('guards against work at the endpoint for a caller that has disconnected', async () => {
    let closed = 0;
    const url = await start(
      (req, res) => void res.once('close', () => closed++),
    );
    const abort = new AbortController();
    const pending = call(url, {signal: abort.signal});
    await sleep(100);
    abort.abort();
    await pending;
    await sleep(50);
    expect(closed).toBe(1);
    system.backends[0]!.handle = sendRunNumber;
    expect((await call(url)).status).toBe(200);
    const name = 'primrose_cancelled_requests_total';
    expect(await system.getMetric(0, name)).toBe(1);
  });

  it('guards against a deadline that only the caller enforces', async () => {
    const url = await start(() => {}, {progressTimeoutMs: 5_000});
    const headers = {'primrose-deadline-ms': '150'};
    const {status, headers: got} = await call(url, {method: 'POST', headers});
    expect([status, got['primrose-outcome']]).toEqual([504, 'unknown']);
    const forwarded = system.backends[0]!.requests[0]!.headers;
    expect(Number(forwarded['primrose-deadline-ms'])).toBeLessThanOrEqual(150);
    await sleep(50);
    expect(system.backends[0]!.inFlight).toBe(0);
  });

  it('guards against using memory and a slot for a caller that stops reading', async () => {
    const url = await start(
      (req, res) => {
        const send = () => {
          while (res.write(Buffer.alloc(MB)));
          res.once('drain', send);
        };
        send();
      },
      {slots: 1, progressTimeoutMs: 300},
    );
    const before = process.memoryUsage().rss;
    const caller = http.get(url, {agent: false}, res => res.pause());
    caller.on('error', () => {});
    await sleep(250);
    expect(process.memoryUsage().rss - before).toBeLessThan(150 * MB);
    await sleep(400);
    expect(system.backends[0]!.inFlight).toBe(0);
    caller.destroy();
  });

  it.each([
    [
      'an unknown service',
      404,
      'GET /v1/requests/t/none/x HTTP/1.1\r\nhost: a\r\n\r\n',
    ],
    [
      'a deadline that is not a number',
      400,
      'GET /v1/requests/t/s/x HTTP/1.1\r\nhost: a\r\nprimrose-deadline-ms: soon\r\n\r\n',
    ],
    [
      'a malformed key',
      400,
      'POST /v1/requests/t/s/x HTTP/1.1\r\nhost: a\r\nidempotency-key: k\r\ncontent-length: 0\r\n\r\n',
    ],
    [
      'a header of 20 KB',
      431,
      `GET /v1/requests/t/s/x HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
    ],
    [
      'a body above the limit',
      413,
      'POST /v1/requests/t/s/x HTTP/1.1\r\nhost: a\r\ncontent-length: 999999999999\r\n\r\n',
    ],
    [
      'an incomplete body',
      408,
      'POST /v1/requests/t/s/x HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf',
    ],
    ['malformed HTTP', 400, 'rubbish\r\n\r\n'],
    ['HTTP/1.0', 505, 'GET /v1/requests/t/s/x HTTP/1.0\r\n\r\n'],
    [
      'a forwarding loop',
      508,
      'GET /v1/requests/t/s/x HTTP/1.1\r\nhost: a\r\nprimrose-hops: 4\r\n\r\n',
    ],
    [
      'an unknown method',
      405,
      'TRACE /v1/requests/t/s/x HTTP/1.1\r\nhost: a\r\n\r\n',
    ],
  ])(
    'guards against running a request with %s, and answers %i',
    async (_, status, text) => {
      await start(sendRunNumber);
      const {hostname, port} = new URL(system.getUrl(0));
      const answer = await new Promise<string>(resolve => {
        const socket = net.connect(Number(port), hostname, () =>
          socket.write(text),
        );
        socket.once('data', data => {
          resolve(data.toString());
          socket.destroy();
        });
      });
      expect(answer.split('\r\n')[0]).toContain(` ${status} `);
      expect(getRuns()).toBe(0);
    },
  );
});
