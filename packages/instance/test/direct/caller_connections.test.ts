import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {RealTimerService} from '@primrosestage/common';
import {planResources} from '@primrosestage/steering';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {BodyBuffers} from '../../src/direct/listen/body_buffers.js';
import {DiscardedBuffers} from '../../src/direct/discarded_buffers.js';
import {handleClientErrors} from '../../src/direct/listen/client_errors.js';
import {CallerConnections} from '../../src/direct/listen/caller_connections.js';
import type {LimitReport} from '../../src/direct/listen/limit_report.js';
import type {PipelinedRequest} from '../../src/direct/listen/pipelined_request.js';
import {ResponseBuffers} from '../../src/direct/send/response_buffers.js';
import {sleep, waitFor} from './fleet.js';

const HEADERS_TIMEOUT_MS = 200;

describe('CallerConnections', () => {
  const started: string[] = [];
  let server: http.Server;
  let start: (request: PipelinedRequest) => void;

  beforeEach(async () => {
    started.length = 0;
    server = http.createServer({connectionsCheckingInterval: 50});
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    const connections = new CallerConnections(server, {
      plan: {...planResources(undefined, Infinity), maxPipelinedRequests: 2},
      responseBuffers: new ResponseBuffers(Infinity),
      bodyBuffers: new BodyBuffers({maxBytes: Infinity, reservedBytes: 0}),
      headBuffers: new BodyBuffers({maxBytes: Infinity, reservedBytes: 0}),
      releaseFields: () => {},
      readDeadlineMs: () => undefined,
      discardedBuffers: new DiscardedBuffers(Infinity, () => {}),
      report: {} as LimitReport,
      timers: new RealTimerService(),
      isIdempotent: ({method}) => method === 'GET',
      start: request => {
        started.push(request.req.url ?? '');
        start(request);
      },
    });
    server.on('request', (req, res) => connections.receive(req, res));
    const log = () => {};
    handleClientErrors(server, connections, {info: log, warn: log, error: log});
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(async () => {
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  });

  /** Opens a connection and collects what arrives on it. */
  const connect = () => {
    const {port} = server.address() as AddressInfo;
    const socket = net.connect({host: '127.0.0.1', port});
    const caller = {socket, received: '', isClosed: false};
    socket.on('data', bytes => (caller.received += String(bytes)));
    socket.on('close', () => (caller.isClosed = true));
    return caller;
  };

  it('guards against starting a request behind a response that closes the connection', async () => {
    start = ({res}) => {
      res.shouldKeepAlive = false;
      res.writeHead(200).end('first');
    };
    const caller = connect();
    const head = 'HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';
    caller.socket.write(`GET /first ${head}POST /order ${head}`);
    await waitFor('the connection is closed', () => caller.isClosed);
    expect(caller.received.match(/HTTP\/1\.1 200/g)).toHaveLength(1);
    expect(started).toEqual(['/first']);
  });

  // The parser's timeout runs from the begin of a head, also while the rest of it is not read.
  it('guards against a timeout of a head that is held back behind running requests', async () => {
    const running: PipelinedRequest[] = [];
    start = request => running.push(request);
    const caller = connect();
    const filler = 'x'.repeat(600);
    const requests = ['/1', '/2', '/3'].map(
      path => `GET ${path} HTTP/1.1\r\nHost: a\r\nX-Filler: ${filler}\r\n\r\n`,
    );
    caller.socket.write(requests.join(''));
    await waitFor('two run', () => running.length === 2);
    await sleep(HEADERS_TIMEOUT_MS * 3);
    expect(caller.isClosed).toBe(false);
    for (const {res} of running.splice(0)) res.writeHead(200).end();
    await waitFor('the third runs', () => running.length === 1);
    running[0]?.res.writeHead(200).end();
    await waitFor(
      'all are answered',
      () => caller.received.match(/HTTP\/1\.1 200/g)?.length === 3,
    );
    caller.socket.destroy();
  });

  it('still ends a connection whose caller does not complete a head', async () => {
    const caller = connect();
    caller.socket.write('GET /first HTTP/1.1\r\nHost: a\r\n');
    await waitFor('the connection is closed', () => caller.isClosed);
    expect(caller.received).toContain(' 408 ');
  });
});
