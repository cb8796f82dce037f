import http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {RealTimerService} from '@primrosestage/common';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {AttemptOutcome} from '../../src/direct/send/attempt.js';
import {
  EndpointAgent,
  type PooledRequest,
} from '../../src/direct/send/endpoint_agent.js';
import {sendAttempt} from '../../src/direct/send/send_attempt.js';
import {EndpointStub, renderHead} from './endpoint_stub.js';
import {HOST, waitFor} from './fleet.js';
import {DiscardedBuffers} from '../../src/direct/discarded_buffers.js';
import {ResponseBuffers} from '../../src/direct/send/response_buffers.js';
import {NAMES} from './names.js';

/** Length of a body that does not fit into the buffers of the kernel, in bytes. */
const LARGE_BYTES = 32 * 1024 * 1024;

/** A pool that takes any idle connection. */
class CarelessAgent extends EndpointAgent {
  override request(request: PooledRequest): http.ClientRequest {
    return http.request({...request, agent: this});
  }
}

describe('EndpointAgent', () => {
  const timers = new RealTimerService();
  let stub: EndpointStub;
  let agent: EndpointAgent;

  beforeEach(async () => {
    stub = await new EndpointStub('e1').start();
  });

  afterEach(async () => {
    agent.destroy();
    await stub[Symbol.asyncDispose]();
  });

  const startAttempt = (
    requestId: string,
    address = stub.address,
    body?: Buffer,
  ) => {
    const [host = '', port] = address.split(':');
    return sendAttempt(
      {
        host,
        port: Number(port),
        method: 'POST',
        path: '/',
        headers: {
          host: HOST,
          [NAMES.requestId]: requestId,
          [NAMES.expectedEndpoint]: stub.id,
          [NAMES.deadlineMs]: '1000',
          'content-length': body?.length ?? 0,
        },
        body: body && {parts: [body], length: body.length},
        requestId,
        timeoutMs: 1_000,
        connectTimeoutMs: 1_000,
      },
      {
        agent,
        timers,
        responseBuffers: new ResponseBuffers(Infinity),
        discardedBuffers: new DiscardedBuffers(Infinity, () => {}),
        names: NAMES,
      },
    );
  };

  /** Sends a request; its connection is idle or closed afterwards. */
  const sendId = async (requestId: string) => {
    const attempt = startAttempt(requestId);
    const {outcome, reason} = await attempt.result;
    await setImmediate();
    return {outcome, reason, ...attempt.getConnectionUse()};
  };

  it('guards against sending an id on a connection that has carried it', async () => {
    agent = new CarelessAgent();
    await sendId('a');
    await expect(sendId('a')).resolves.toMatchObject({
      outcome: AttemptOutcome.NotSent,
      reason: 'connection has carried the request id',
      connection: 1,
      idUses: 2,
    });
    const next = await sendId('b');
    expect(next).toMatchObject({outcome: AttemptOutcome.Answered});
    expect(stub.ran).toEqual(['a', 'b']);
  });

  /** Sends two requests, which leaves two idle connections, and returns the next to be reused. */
  const getNextIdle = async () => {
    agent = new EndpointAgent();
    await Promise.all(['a', 'b'].map(sendId));
    const idle = Object.values(agent.freeSockets).flatMap(each => each ?? []);
    expect(idle.length).toBe(2);
    const next = idle.at(-1);
    if (!next) throw new TypeError('no idle connection');
    return next;
  };

  it('guards against sending on a connection that was closed in the same step since data arrived', async () => {
    const idle = await getNextIdle();
    const sent = new Promise(resolve => {
      idle.once('data', () => resolve(sendId('c')));
    });
    stub.write('HTTP/1.1 503 Busy\r\n', idle.localPort);
    await expect(sent).resolves.toMatchObject({
      outcome: AttemptOutcome.Answered,
    });
  });

  it('guards against sending on a connection that was closed in the same step since it was idle', async () => {
    const idle = await getNextIdle();
    idle.emit('timeout');
    await expect(sendId('c')).resolves.toMatchObject({
      outcome: AttemptOutcome.Answered,
    });
  });

  it('reuses a connection for other ids, and opens one for an id that it has carried', async () => {
    agent = new EndpointAgent();
    const uses = [];
    for (const id of ['a', 'b', 'a', 'c']) uses.push(await sendId(id));
    const connections = uses.map(({connection}) => connection);
    expect(connections).toEqual([1, 1, 2, 2]);
    expect(uses.map(({idUses}) => idUses)).toEqual([1, 1, 1, 1]);
  });

  it('closes each idle connection that has carried an id', async () => {
    agent = new EndpointAgent();
    const first = startAttempt('a');
    const second = startAttempt('a');
    await Promise.all([first.result, second.result]);
    await setImmediate();
    expect(stub.connections).toBe(2);
    await expect(sendId('a')).resolves.toMatchObject({
      outcome: AttemptOutcome.Answered,
      idUses: 1,
    });
    await waitFor('one connection is left', () => stub.connections === 1);
  });

  it.each([
    ['writes more bytes on it', 'data', (peer: Socket) => peer.write('x')],
    ['closes it', 'end', (peer: Socket) => peer.end()],
  ])(
    'guards against choosing the connection used last if its endpoint %s',
    async (_, event, act) => {
      agent = new EndpointAgent();
      const peers = new Set<Socket>();
      stub.observe = (_step, {socket}) => peers.add(socket);
      await Promise.all([sendId('a'), sendId('b')]);
      const idle = Object.values(agent.freeSockets).flat().at(-1);
      const isPeer = (peer: Socket) => peer.remotePort === idle?.localPort;
      const peer = [...peers].find(isPeer);
      // Requests of callers start in the same iteration of the event loop, after its reads.
      const observed = new Promise<void>(resolve =>
        idle?.prependOnceListener(
          event,
          () => void setImmediate().then(resolve),
        ),
      );
      if (peer) act(peer);
      await observed;
      await expect(sendId('c')).resolves.toMatchObject({
        outcome: AttemptOutcome.Answered,
      });
    },
  );

  it('guards against keeping a request body that an endpoint does not read', async () => {
    agent = new EndpointAgent();
    const server = net.createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.pause();
        const headers = {
          [NAMES.requestId]: 'a',
          [NAMES.stamp]: 'stamp',
          'content-length': '0',
        };
        socket.write(`${renderHead('500 Error', headers)}\r\n`);
      });
    });
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const attempt = startAttempt('a', address, Buffer.alloc(LARGE_BYTES));
    expect((await attempt.result).outcome).toBe(AttemptOutcome.Answered);
    const getOpen = () => Object.values(agent.sockets).flat();
    try {
      await waitFor('the connection is closed', () => getOpen().length === 0);
    } finally {
      for (const socket of getOpen()) socket?.destroy();
      server.close();
    }
  });
});
