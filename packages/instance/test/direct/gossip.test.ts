import {createSocket} from 'node:dgram';
import {afterEach, describe, expect, it} from 'vitest';
import {RegistryFault} from '@primrosestage/control';
import {EndpointState} from '@primrosestage/steering';
import {
  createRoute,
  getControlAddress,
  putConfiguration,
  putEndpoint,
  queryDirectory,
  send,
  sleep,
  waitFor,
  waitUntilServing,
  type TestInstance,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {TestFleet} from './test_fleet.js';

/** First host number of the loopback addresses used here; other tests use other ones. */
const FIRST_NUMBER = 60;

describe('gossip', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  const startFleet = async (
    registry: MemoryRegistry,
    count: number,
  ): Promise<TestInstance[]> => {
    const first = await fleet.start(registry, FIRST_NUMBER);
    const seedAddresses = [first.settings.controlAddress];
    const others: TestInstance[] = [];
    for (let i = 1; i < count; i++) {
      others.push(
        await fleet.start(registry, FIRST_NUMBER + i, {seedAddresses}),
      );
    }
    const all = [first, ...others];
    for (const test of all) await waitUntilServing(test);
    await waitFor('all instances know each other', async () => {
      for (const test of all) {
        const listed = await queryDirectory(test, 'north');
        if (listed.length < count) return false;
      }
      return true;
    });
    return all;
  };

  const getLines = (test: TestInstance, event: string) =>
    test.lines.filter(line => line.event === event);

  it('broadcasts a change to all instances at once while only one follows the registry', async () => {
    const registry = new MemoryRegistry();
    putConfiguration(registry, 1, [createRoute()]);
    const stub = await fleet.startEndpoint('e1');
    putEndpoint(registry, stub);
    const all = await startFleet(registry, 6);
    await waitFor('only one follows', () =>
      all
        .slice(1)
        .every(test => getLines(test, 'no longer following registry').length),
    );
    putEndpoint(registry, stub, {state: EndpointState.Draining});
    await sleep(200);
    for (const test of all) {
      const changes = getLines(test, 'endpoint changed');
      expect(changes.at(-1)?.fields).toMatchObject({effect: 'left'});
    }
  }, 20_000);

  // Behind a full link, an exchange takes seconds; a datagram needs no answer.
  it('guards against a change of the configuration that waits for an exchange', async () => {
    const registry = new MemoryRegistry();
    putConfiguration(registry, 1, [createRoute()]);
    putEndpoint(registry, await fleet.startEndpoint('e1'));
    const all = await startFleet(registry, 6);
    await waitFor('only one follows', () =>
      all
        .slice(1)
        .every(test => getLines(test, 'no longer following registry').length),
    );
    const added = createRoute({name: 'added', prefix: '/added/'});
    putConfiguration(registry, 2, [createRoute(), added]);
    const getOrigin = (test: TestInstance) => {
      const line = getLines(test, 'configuration in force').at(-1);
      return line?.fields['version'] === 2 ? line.fields['from'] : undefined;
    };
    await waitFor('it is in force', () => all.every(getOrigin));
    const ids = all.map(({settings}) => settings.id);
    expect([...ids, 'registry']).toEqual(
      expect.arrayContaining(all.map(getOrigin)),
    );
  }, 20_000);

  it('lets one instance watch at a system start (guards against one watch per instance)', async () => {
    const registry = new MemoryRegistry();
    putConfiguration(registry, 1, [createRoute()]);
    const seedAddresses = [getControlAddress(FIRST_NUMBER + 20)];
    const numbers = [0, 1, 2, 3, 4].map(i => FIRST_NUMBER + 20 + i);
    const all = await Promise.all(
      numbers.map(number =>
        fleet.start(registry, number, {seedAddresses, isSystemStart: true}),
      ),
    );
    for (const test of all) await waitUntilServing(test);
    const stub = await fleet.startEndpoint('e1');
    putEndpoint(registry, stub);
    for (const test of all) {
      await waitFor(
        'the endpoint is known',
        () => getLines(test, 'endpoint changed').length > 0,
      );
    }
    // The first watch returned with the endpoint, and the next is pending.
    expect(registry.watchCount).toBeLessThanOrEqual(2);
  }, 20_000);

  it('sends changes to instances of another region that the registry refuses', async () => {
    const registry = new MemoryRegistry();
    const unavailableRegistry = new MemoryRegistry();
    unavailableRegistry.fault = RegistryFault.Unavailable;
    putConfiguration(registry, 1, [createRoute()]);
    const first = await fleet.start(registry, FIRST_NUMBER + 10);
    const seedAddresses = [first.settings.controlAddress];
    const south = {zone: 'south-a', region: 'south', seedAddresses};
    const second = await fleet.start(
      unavailableRegistry,
      FIRST_NUMBER + 11,
      south,
    );
    const third = await fleet.start(
      unavailableRegistry,
      FIRST_NUMBER + 12,
      south,
    );
    for (const test of [first, second, third]) await waitUntilServing(test);
    putConfiguration(registry, 2, [createRoute({prefix: '/new/'})]);
    for (const test of [second, third]) {
      await waitFor(
        'the configuration is in force',
        async () => (await send(test)).status === 404,
      );
    }
  }, 20_000);

  it('sends nothing to a cold endpoint before it knows how many instances share the limit', async () => {
    const registry = new MemoryRegistry();
    putConfiguration(registry, 1, [createRoute()], {coldPerSecond: 5});
    const cold = await fleet.startEndpoint('cold');
    putEndpoint(registry, cold, {coldLeftMs: 60_000});
    const number = FIRST_NUMBER + 30;
    const seedAddresses = [getControlAddress(number)];
    const second = await fleet.start(registry, number + 1, {seedAddresses});
    await waitUntilServing(second);
    expect((await send(second)).status).toBe(503);
    const first = await fleet.start(registry, number);
    await waitUntilServing(first);
    await waitFor(
      'the second may send its share',
      async () => (await send(second)).status === 200,
    );
  }, 20_000);

  it('guards against malformed datagrams of other senders', async () => {
    const registry = new MemoryRegistry();
    putConfiguration(registry, 1, [createRoute()]);
    const test = await fleet.start(registry, FIRST_NUMBER + 13);
    await waitUntilServing(test);
    const [host, port] = test.settings.gossipAddress.split(':');
    const socket = createSocket('udp4');
    const withoutHeartbeats = JSON.stringify({
      sender: {id: 'x'},
      heartbeats: null,
    });
    for (const text of [
      '',
      '{',
      'null',
      '7',
      '{"sender":3}',
      withoutHeartbeats,
    ]) {
      socket.send(text, Number(port), host);
    }
    await waitFor(
      'the failure is reported',
      () => getLines(test, 'gossip failed').length > 0,
    );
    socket.close();
    expect(await queryDirectory(test, 'north')).toEqual([
      test.settings.callerAddress,
    ]);
  });
});
