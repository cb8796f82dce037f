import http from 'node:http';
import net from 'node:net';
import {describe, expect, it} from 'vitest';
import {listen, parseAddress} from '../../src/http/index.js';
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

  const REQUEST = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n';

  // Node.js responds to the connection, whose caller waits for the response to an earlier request.
  it.each([
    ['malformed', 'rubbish\r\n\r\n', undefined],
    [
      'too long',
      `GET / HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
      undefined,
    ],
    ['late', 'GET / HTTP/1.1\r\nhost', 'ERR_HTTP_REQUEST_TIMEOUT'],
  ])(
    'guards against an error status for a request that runs because the head behind it is %s',
    async (_, next, code) => {
      const address = `127.40.9.1:${getTestPort(4)}`;
      await using listener = await listen({address, handle: () => {}});
      const {host, port} = parseAddress(address);
      let received = '';
      const closed = new Promise<void>(resolve => {
        listener.server.once('request', ({socket}) => {
          caller.write(next);
          const err = Object.assign(new Error('timeout'), {code});
          if (code !== undefined)
            setTimeout(() => socket.emit('error', err), 50);
        });
        const caller = net.connect(port, host, () => caller.write(REQUEST));
        caller.on('data', data => (received += data.toString()));
        caller.on('error', () => resolve());
        caller.on('close', () => resolve());
      });
      await closed;
      expect(received).toBe('');
    },
  );

  it.each([
    ['malformed', 'rubbish\r\n\r\n', 400, undefined],
    [
      'too long',
      `GET / HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
      431,
      undefined,
    ],
    ['late', 'GET / HTTP/1.1\r\nhost', 408, 'ERR_HTTP_REQUEST_TIMEOUT'],
  ])(
    'guards against closing a connection without a status because a head is %s',
    async (_, head, status, code) => {
      const address = `127.40.9.1:${getTestPort(4)}`;
      await using listener = await listen({address, handle: () => {}});
      const {host, port} = parseAddress(address);
      listener.server.once('connection', socket => {
        const err = Object.assign(new Error('timeout'), {code});
        if (code !== undefined) setTimeout(() => socket.emit('error', err), 50);
      });
      const received = await new Promise<string>(resolve => {
        const caller = net.connect(port, host, () => caller.write(head));
        caller.once('data', data => resolve(data.toString()));
        caller.once('close', () => resolve(''));
        caller.on('error', () => {});
      });
      expect(received).toContain(`HTTP/1.1 ${status} `);
    },
  );
});
