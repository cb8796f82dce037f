import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {GuardedAgent} from '@primrosestage/common';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

describe('GuardedAgent', () => {
  const sockets: Socket[] = [];
  let server: http.Server;
  let agent: GuardedAgent;

  beforeEach(async () => {
    server = http.createServer((_req, res) => res.end('answer'));
    server.on('connection', socket => sockets.push(socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    agent = new GuardedAgent({keepAlive: true});
  });

  afterEach(async () => {
    agent.destroy();
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
    await once(server, 'close');
  });

  /** Sends a request; its connection is idle afterwards. */
  const sendRequest = async () => {
    const {port} = server.address() as AddressInfo;
    const req = http.get({host: '127.0.0.1', port, agent});
    const [res] = (await once(req, 'response')) as [http.IncomingMessage];
    res.resume();
    await once(res, 'end');
    await setImmediate();
    return res.statusCode;
  };

  const getIdle = () =>
    Object.values(agent.freeSockets).flatMap(each => each ?? []);

  /** Sends a request in the same step in which the next idle connection of two gets an event. */
  const sendAtEvent = async (
    event: string,
    cause: (idle: Socket, peer: Socket | undefined) => void,
  ) => {
    await Promise.all([sendRequest(), sendRequest()]);
    const [, idle] = getIdle();
    if (!idle) throw new TypeError('fewer than two idle connections');
    const sent = new Promise((resolve, reject) => {
      idle.once(event, () => sendRequest().then(resolve, reject));
    });
    cause(
      idle,
      sockets.find(({remotePort}) => remotePort === idle.localPort),
    );
    return sent;
  };

  it('guards against reuse of a connection that was closed in the same step since data arrived', async () => {
    const sent = sendAtEvent('data', (_, peer) => peer?.write('early'));
    await expect(sent).resolves.toBe(200);
  });

  it('guards against reuse of a connection that was closed in the same step by its idle timeout', async () => {
    const sent = sendAtEvent('timeout', idle => idle.setTimeout(1));
    await expect(sent).resolves.toBe(200);
  });

  it('guards against reuse of a connection that its peer ended in the same step', async () => {
    const sent = sendAtEvent('end', (_, peer) => peer?.end());
    await expect(sent).resolves.toBe(200);
  });

  it('forgets connections that it closes', async () => {
    await Promise.all([sendRequest(), sendRequest()]);
    for (const idle of getIdle()) idle.emit('timeout');
    expect(Object.keys(agent.freeSockets)).toEqual([]);
    await expect(sendRequest()).resolves.toBe(200);
    expect(getIdle().length).toBe(1);
    expect(Object.keys(agent.sockets)).toEqual([]);
  });
});
