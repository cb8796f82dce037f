import v8 from 'node:v8';
import vm from 'node:vm';
import {connectTcp, createAgent} from '@primrosestage/common';
import type {AnyRouter} from '@trpc/server';
import {createPeerClient} from '../../src/rpc/index.js';
import {describe, expect, it} from 'vitest';
import {getProcessPort, startSilentListener} from '../admin/start_instances.js';

const HOST = '127.50.8.1';
const PORT = getProcessPort(7001);

describe('createPeerClient', () => {
  it('times out a call to an unresponsive peer even after a garbage collection (guards against calls that never end)', async () => {
    v8.setFlagsFromString('--expose-gc');
    const collectGarbage = vm.runInNewContext('gc') as () => void;
    const agent = createAgent({connect: connectTcp});
    const peer = await startSilentListener(HOST, PORT);
    const address = `${HOST}:${PORT}`;
    type Client = Record<string, {query(): Promise<unknown>}>;
    const client = createPeerClient<AnyRouter>({
      address,
      agent,
      timeoutMs: 300,
    }) as unknown as Client;
    const calls = Promise.allSettled([1, 2, 3].map(() => client.x!.query()));
    setTimeout(collectGarbage, 100);
    const late = new Promise(resolve => setTimeout(resolve, 5_000, 'late'));
    const results = await Promise.race([calls, late]);
    agent.destroy();
    await peer[Symbol.asyncDispose]();
    expect(results).toMatchObject([1, 2, 3].map(() => ({status: 'rejected'})));
  });

  it('tells how far a call without a response has come', async () => {
    const agent = createAgent({connect: connectTcp});
    const peer = await startSilentListener(HOST, PORT);
    type Client = Record<string, {query(): Promise<unknown>}>;
    const client = createPeerClient<AnyRouter>({
      address: `${HOST}:${PORT}`,
      agent,
      timeoutMs: 100,
    }) as unknown as Client;
    await expect(client.x!.query()).rejects.toThrow(
      /no complete response within 100 ms on a new connection \(\d+ bytes written, 0 queued, 0 read\)/,
    );
    agent.destroy();
    await peer[Symbol.asyncDispose]();
  });
});
