import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {RealTimerService} from '@primrosestage/common';
import {planResources} from '@primrosestage/steering';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {CallerConnections} from '../../src/direct/listen/caller_connections.js';
import type {LimitReport} from '../../src/direct/listen/limit_report.js';
import type {PipelinedRequest} from '../../src/direct/listen/pipelined_request.js';
import {ResponseBuffers} from '../../src/direct/send/response_buffers.js';
import {waitFor} from './fleet.js';

describe('CallerConnections', () => {
  const started: string[] = [];
  let server: http.Server;
  let start: (request: PipelinedRequest) => void;

  beforeEach(async () => {
    started.length = 0;
    server = http.createServer();
    const connections = new CallerConnections(server, {
      plan: planResources(undefined, Infinity),
      responseBuffers: new ResponseBuffers(Infinity),
      report: {} as LimitReport,
      timers: new RealTimerService(),
      isIdempotent: ({method}) => method === 'GET',
      start: request => {
        started.push(request.req.url ?? '');
        start(request);
      },
    });
    server.on('request', (req, res) => connections.receive(req, res));
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(async () => {
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  });

  it('guards against starting a request behind a response that closes the connection', async () => {
    start = ({res}) => {
      res.shouldKeepAlive = false;
      res.writeHead(200).end('first');
    };
    const {port} = server.address() as AddressInfo;
    const socket = net.connect({host: '127.0.0.1', port});
    let received = '';
    let isClosed = false;
    socket.on('data', bytes => (received += String(bytes)));
    socket.on('close', () => (isClosed = true));
    const head = 'HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';
    socket.write(`GET /first ${head}POST /order ${head}`);
    await waitFor('the connection is closed', () => isClosed);
    expect(received.match(/HTTP\/1\.1 200/g)).toHaveLength(1);
    expect(started).toEqual(['/first']);
  });
});
