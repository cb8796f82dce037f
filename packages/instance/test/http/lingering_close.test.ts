import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {VirtualTimerService} from '@primrosestage/common';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {useLingeringClose} from '../../src/http/lingering_close.js';
import {sleep, waitFor} from '../direct/fleet.js';
import {SlowCaller} from '../direct/slow_caller.js';

const PAGE_BYTES = 2_000_000;

describe('useLingeringClose', () => {
  let server: http.Server;
  let address: string;
  let responses = 0;

  beforeEach(async () => {
    responses = 0;
    server = http.createServer((_req, res) => {
      res.once('finish', () => responses++);
      res.shouldKeepAlive = false;
      res.end(Buffer.alloc(PAGE_BYTES, 'x'));
    });
    // Its time does not pass, so that no connection is closed because a wait ends.
    useLingeringClose(server, new VirtualTimerService());
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  const countConnections = () =>
    new Promise<number>(resolve => {
      server.getConnections((_err, count) => resolve(count));
    });

  // The listeners of callers of `serve`, the directory and other instances close in this way.
  it('guards against a reset behind a response that closes its connection', async () => {
    using caller = new SlowCaller(address);
    caller.requestPage('page', 0);
    await sleep(100);
    caller.requestPage('next', 0);
    await sleep(100);
    const {text} = await caller.readToEnd();
    expect(text.length).toBeGreaterThan(PAGE_BYTES);
  });

  it('does not wait for a caller that has asked for the close', async () => {
    using caller = new SlowCaller(address, {neverCloses: true});
    caller.requestPage('page', 0, 'Connection: close\r\n');
    void caller.readToEnd();
    await waitFor('it is answered', () => responses === 1);
    await waitFor('it is closed', async () => (await countConnections()) === 0);
  });
});
