import net, {type AddressInfo} from 'node:net';
import {describe, expect, it} from 'vitest';
import {
  createReadinessServer,
  leaveBodies,
} from '../../src/direct/listen/http_servers.js';
import {waitFor} from './fleet.js';

describe('a server whose requests have no bodies', () => {
  it('guards against reading a body without an end behind its response', async () => {
    const server = createReadinessServer(() => true);
    leaveBodies(server);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const socket = net.connect({host: '127.0.0.1', port});
    let received = '';
    let isClosed = false;
    socket.on('data', bytes => (received += String(bytes)));
    socket.on('error', () => {});
    socket.on('close', () => (isClosed = true));
    const head =
      'GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
    socket.write(head);
    const sending = setInterval(() => socket.write('1\r\nx\r\n'), 5);
    await waitFor('the connection is closed', () => isClosed);
    clearInterval(sending);
    expect(received).toMatch(/^HTTP\/1\.1 200 /);
    await new Promise(resolve => server.close(resolve));
  });
});
