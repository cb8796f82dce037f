import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {connectTcp, createAgent, RealTimerService} from '@primrosestage/common';
import {HttpStore} from '@primrosestage/control';
import {expect, it} from 'vitest';
import {PartitionKind, FaultConnector} from '../src/faults/index.js';
import {SeededRandom} from '../src/random/index.js';
import {StoreServer} from '../src/store/index.js';

const HOST = '127.11.9.2';

it('silences existing connections while new ones work, and refuses new connections or leaves them unanswered', async () => {
  const server = http.createServer((_req, res) => res.end('ok'));
  await once(server.listen(0, HOST), 'listening');
  const {port} = server.address() as AddressInfo;
  const connector = new FaultConnector();
  const agent = createAgent({connect: connector.connect});
  const get = (options: http.RequestOptions = {agent}) =>
    new Promise<string>(resolve => {
      const req = http.get({host: HOST, port, ...options}, res => {
        res.resume().once('end', () => resolve('answered'));
      });
      req.setTimeout(300, () => req.destroy(new Error('timeout')));
      req.once('error', err => resolve(err.message));
    });
  expect([await get(), await get()]).toEqual(['answered', 'answered']);
  await sleep(20);
  connector.silenceConnections([HOST]);
  expect(await get()).toBe('timeout');
  expect(await get()).toBe('answered');
  connector.setPartitions({[HOST]: PartitionKind.Silent});
  expect(await get()).toBe('timeout');
  connector.setPartitions({[HOST]: PartitionKind.Refused});
  expect(await get()).toContain('ECONNREFUSED');
  connector.setPartitions({});
  expect(await get()).toBe('answered');
  agent.destroy();
  server.closeAllConnections();
  server.close();
});

it('applies a write whose reply is lost, either immediately or after a delay', async () => {
  await using server = new StoreServer({
    host: HOST,
    port: 18_084,
    random: new SeededRandom(1),
    instances: [],
  });
  await server.start();
  await using store = new HttpStore({
    address: `${HOST}:18084`,
    timeoutMs: 500,
    connect: connectTcp,
    timers: new RealTimerService(),
  });
  const version = await store.put('a', 1, 0);
  server.setFaults({lostReplyFraction: 1});
  await expect(store.put('a', 2, version!)).rejects.toThrow('hang up');
  const lost = await store.get('a');
  expect(lost?.value).toBe(2);
  server.setFaults({delayedWriteFraction: 1, writeDelayMs: 100});
  await expect(store.put('a', 3, lost!.version)).rejects.toThrow('hang up');
  expect((await store.get('a'))?.value).toBe(2);
  await sleep(150);
  expect((await store.get('a'))?.value).toBe(3);
});
