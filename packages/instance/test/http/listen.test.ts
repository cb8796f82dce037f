import http from 'node:http';
import {describe, expect, it} from 'vitest';
import {listen} from '../../src/http/listen.js';
import {getTestPort} from '../support/get_test_port.js';

describe('listen', () => {
  const get = (address: string) =>
    new Promise<number | string>(resolve => {
      const req = http.get(`http://${address}/`, {agent: false}, res => {
        res.resume();
        res.on('end', () => resolve(res.statusCode ?? 0));
      });
      req.on('error', (err: NodeJS.ErrnoException) =>
        resolve(err.code ?? err.message),
      );
    });

  it('guards against resetting connections in the backlog on close', async () => {
    const address = `127.40.9.1:${getTestPort(4)}`;
    const listener = await listen({
      address,
      handle: (_req, res) => res.end('done'),
    });
    // The kernel establishes the connections before the event loop accepts them.
    const answers = new Promise<Array<number | string>>(resolve => {
      setImmediate(() => {
        const calls = Array.from({length: 5}, () => get(address));
        void Promise.all(calls).then(resolve);
      });
    });
    const closed = listener[Symbol.asyncDispose]();
    expect(await answers).toEqual([200, 200, 200, 200, 200]);
    await closed;
    expect(await get(address)).toBe('ECONNREFUSED');
  });
});
