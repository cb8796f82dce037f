import http from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {RealTimerService} from '@primrosestage/common';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {AttemptOutcome} from '../../src/direct/send/attempt.js';
import {
  EndpointAgent,
  type PooledRequest,
} from '../../src/direct/send/endpoint_agent.js';
import {sendAttempt} from '../../src/direct/send/send_attempt.js';
import {EndpointStub} from './endpoint_stub.js';
import {HOST} from './fleet.js';
import {NAMES} from './names.js';

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

  /** Sends a request; its connection is idle or closed afterwards. */
  const sendId = async (requestId: string) => {
    const [host = '', port] = stub.address.split(':');
    const attempt = sendAttempt(
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
          'content-length': 0,
        },
        requestId,
        timeoutMs: 1_000,
        connectTimeoutMs: 1_000,
      },
      {agent, timers, names: NAMES},
    );
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
});
