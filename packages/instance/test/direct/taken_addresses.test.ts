import {createSocket} from 'node:dgram';
import net from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {
  createRoute,
  putConfiguration,
  putEndpoint,
  waitUntilServing,
} from './fleet.js';
import {getTestPort} from '../support/get_test_port.js';
import {MemoryRegistry} from './memory_registry.js';
import {TestFleet} from './test_fleet.js';

/** Last part of the loopback address, which no other test uses. */
const NUMBER = 230;
const HOST_ADDRESS = `127.0.7.${NUMBER}`;
/** Time for which the address is still taken, in milliseconds. */
const TAKEN_MS = 400;

const takePort = async (port: number) => {
  const server = net.createServer();
  await new Promise<void>(resolve =>
    server.listen(port, HOST_ADDRESS, resolve),
  );
  return () => server.close();
};

const takeDatagramPort = async (port: number) => {
  const socket = createSocket('udp4');
  await new Promise<void>(resolve => socket.bind(port, HOST_ADDRESS, resolve));
  return () => socket.close();
};

describe('an instance whose address a process that ends still has', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  it.each([
    ['callers', 0, takePort],
    ['health checks', 1, takePort],
    ['datagrams', 3, takeDatagramPort],
  ])(
    'guards against never serving after its start, for %s',
    async (_name, offset, take) => {
      const release = await take(getTestPort(offset));
      const registry = new MemoryRegistry();
      putConfiguration(registry, 1, [createRoute()]);
      putEndpoint(registry, await fleet.startEndpoint('e1'));
      const starting = fleet.start(registry, NUMBER);
      await new Promise(resolve => setTimeout(resolve, TAKEN_MS));
      release();
      const test = await starting;
      await waitUntilServing(test);
      const taken = test.lines.filter(
        ({event}) => event === 'address cannot be used yet',
      );
      expect(taken).toHaveLength(1);
    },
  );
});
