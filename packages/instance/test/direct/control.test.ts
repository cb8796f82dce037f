import {afterEach, describe, expect, it} from 'vitest';
import {RegistryFault} from '@primrosestage/control';
import {EndpointState} from '@primrosestage/steering';
import {
  createRoute,
  putConfiguration,
  putEndpoint,
  queryDirectory,
  send,
  sleep,
  waitFor,
  waitUntilServing,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {TestFleet} from './test_fleet.js';

/** Time in which an instance probes silent ones several times, in milliseconds. */
const PROBING_MS = 4_000;

describe('control state', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  it('sends nothing to a draining endpoint, even if the registry then fails', async () => {
    const registry = new MemoryRegistry();
    const [leaving, staying] = [
      await fleet.startEndpoint('e1'),
      await fleet.startEndpoint('e2'),
    ];
    putConfiguration(registry, 1, [createRoute()]);
    putEndpoint(registry, leaving);
    putEndpoint(registry, staying);
    const test = await fleet.start(registry, 20);
    await waitUntilServing(test);
    putEndpoint(registry, leaving, {state: EndpointState.Draining});
    await sleep(150);
    registry.fault = RegistryFault.Unavailable;
    registry.wakeWatches();
    const before = leaving.ran.length;
    for (let i = 0; i < 30; i++) await send(test, {object: `o${i}`});
    expect(leaving.ran.length).toBe(before);
    expect(staying.ran.length).toBeGreaterThan(0);
  });

  it('never runs a request at another endpoint that reuses the address', async () => {
    const registry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('new-owner');
    putConfiguration(registry, 1, [createRoute()]);
    registry.set('endpoints/old-owner', {
      id: 'old-owner',
      service: 'pages',
      address: stub.address,
      zone: 'north-a',
      slots: 4,
      state: EndpointState.Ready,
      coldLeftMs: 0,
      bornAt: 1,
    });
    const test = await fleet.start(registry, 21);
    await waitUntilServing(test);
    expect((await send(test)).status).toBe(503);
    expect(stub.ran).toEqual([]);
  });

  it('keeps the last view while the registry is unavailable and never applies an older version', async () => {
    const registry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('e1');
    putConfiguration(registry, 5, [createRoute()]);
    putEndpoint(registry, stub);
    const test = await fleet.start(registry, 22);
    await waitUntilServing(test);
    registry.fault = RegistryFault.NoResponse;
    registry.wakeWatches();
    expect((await send(test)).status).toBe(200);
    putConfiguration(registry, 4, [createRoute({prefix: '/old/'})]);
    registry.fault = undefined;
    await sleep(300);
    expect((await send(test)).status).toBe(200);
    putConfiguration(registry, 6, [createRoute({prefix: '/new/'})]);
    await waitFor(
      'the new configuration is in force',
      async () => (await send(test)).status === 404,
    );
  });

  it('lists again after the history was lost', async () => {
    const registry = new MemoryRegistry();
    const [first, second] = [
      await fleet.startEndpoint('e1'),
      await fleet.startEndpoint('e2'),
    ];
    putConfiguration(registry, 1, [createRoute()]);
    putEndpoint(registry, first);
    const test = await fleet.start(registry, 23);
    await waitUntilServing(test);
    registry.isStalled = true;
    registry.set('endpoints/e1');
    putEndpoint(registry, second);
    registry.isStalled = false;
    registry.compact();
    await waitFor('the second endpoint serves', async () => {
      await send(test);
      return second.ran.length > 0;
    });
    const before = first.ran.length;
    for (let i = 0; i < 10; i++) await send(test);
    expect(first.ran.length).toBe(before);
  });

  it('drops a removed endpoint at once, but one that disappeared during an outage only after a delay', async () => {
    const registry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('e1');
    putConfiguration(registry, 1, [createRoute()]);
    putEndpoint(registry, stub);
    const test = await fleet.start(registry, 24);
    await waitUntilServing(test);
    registry.fault = RegistryFault.NoResponse;
    registry.wakeWatches();
    await waitFor('the outage is detected', () =>
      test.lines.some(({event}) => event === 'registry lost'),
    );
    registry.set('endpoints/e1');
    registry.fault = undefined;
    await waitFor('the outage has ended', () =>
      test.lines.some(({event}) => event === 'registry regained'),
    );
    expect((await send(test)).status).toBe(200);
    await sleep(2_700);
    expect((await send(test)).status).toBe(503);
  });

  it('learns changes from another instance while the registry refuses it', async () => {
    const registry = new MemoryRegistry();
    const unavailableRegistry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('e1');
    putConfiguration(registry, 1, [createRoute()]);
    putEndpoint(registry, stub);
    unavailableRegistry.fault = RegistryFault.Unavailable;
    const first = await fleet.start(registry, 25);
    const second = await fleet.start(unavailableRegistry, 26, {
      seedAddresses: [first.settings.controlAddress],
    });
    await waitUntilServing(second);
    expect((await send(second)).status).toBe(200);
    putConfiguration(registry, 2, [createRoute({prefix: '/new/'})]);
    await waitFor(
      'the second instance has the configuration',
      async () => (await send(second)).status === 404,
    );
  });

  it('reopens a stalled watch while other instances receive changes', async () => {
    const registry = new MemoryRegistry();
    const stalledRegistry = new MemoryRegistry();
    for (const each of [registry, stalledRegistry]) {
      putConfiguration(each, 1, [createRoute()]);
    }
    const first = await fleet.start(registry, 27);
    const second = await fleet.start(stalledRegistry, 28, {
      seedAddresses: [first.settings.controlAddress],
      // Each region has its own follower, so this instance keeps its watch.
      zone: 'south-a',
      region: 'south',
    });
    await waitUntilServing(second);
    stalledRegistry.isStalled = true;
    for (let i = 0; i < 5; i++) registry.set('other', {i});
    await waitFor('the watch is reopened', () =>
      second.lines.some(({event}) => event.startsWith('registry watch is')),
    );
  });

  it('lets one instance of a region follow the registry and notify the others at once', async () => {
    const registry = new MemoryRegistry();
    putConfiguration(registry, 1, [createRoute()]);
    const first = await fleet.start(registry, 33);
    const second = await fleet.start(registry, 34);
    await waitUntilServing(second);
    await waitFor('the second no longer follows', () =>
      second.lines.some(({event}) => event.startsWith('no longer following')),
    );
    putConfiguration(registry, 2, [createRoute({prefix: '/new/'})]);
    await sleep(250);
    expect((await send(second)).status).toBe(404);
    await first.instance[Symbol.asyncDispose]();
    putConfiguration(registry, 3, [createRoute()]);
    const startedAt = performance.now();
    await waitFor(
      'the second follows again',
      async () => (await send(second)).status !== 404,
    );
    expect(performance.now() - startedAt).toBeLessThan(2_000);
  }, 20_000);

  it('guards against endpoints that drain while every watch is stalled', async () => {
    const registry = new MemoryRegistry();
    const [leaving, staying] = [
      await fleet.startEndpoint('e1'),
      await fleet.startEndpoint('e2'),
    ];
    putConfiguration(registry, 1, [createRoute()]);
    putEndpoint(registry, leaving);
    putEndpoint(registry, staying);
    const test = await fleet.start(registry, 37);
    await waitUntilServing(test);
    await sleep(300);
    registry.stallPendingWatches();
    putEndpoint(registry, leaving, {state: EndpointState.Draining});
    await sleep(test.settings.bounds.drainMs);
    const before = leaving.ran.length;
    for (let i = 0; i < 30; i++) await send(test, {object: `o${i}`});
    expect(leaving.ran.length).toBe(before);
  });

  it('registers the first instance of a region, and another one once it knows no other', async () => {
    const registry = new MemoryRegistry();
    putConfiguration(registry, 1, [createRoute()]);
    const first = await fleet.start(registry, 35);
    const seedAddresses = [first.settings.controlAddress];
    const second = await fleet.start(registry, 36, {seedAddresses});
    await waitFor('the first is registered', () =>
      registry.has('members/instance-35'),
    );
    await waitUntilServing(second);
    await sleep(1_000);
    expect(registry.has('members/instance-36')).toBe(false);
    await first.instance[Symbol.asyncDispose]();
    await waitFor('the second is registered', () =>
      registry.has('members/instance-36'),
    );
  }, 20_000);

  it('sends nothing to an evacuated zone until the evacuation ends', async () => {
    const registry = new MemoryRegistry();
    const [near, far] = [
      await fleet.startEndpoint('e1'),
      await fleet.startEndpoint('e2'),
    ];
    putConfiguration(registry, 1, [createRoute()]);
    putEndpoint(registry, near);
    putEndpoint(registry, far, {zone: 'south-a'});
    const test = await fleet.start(registry, 29);
    await waitUntilServing(test);
    registry.set('evacuations/north-a', {});
    await sleep(150);
    for (let i = 0; i < 20; i++) await send(test, {object: `o${i}`});
    expect(near.ran).toEqual([]);
    registry.set('evacuations/north-a');
    await sleep(150);
    for (let i = 0; i < 20; i++) await send(test, {object: `p${i}`});
    expect(near.ran.length).toBeGreaterThan(0);
  });

  it('sends requests with home regions only to these regions', async () => {
    const registry = new MemoryRegistry();
    const [near, far] = [
      await fleet.startEndpoint('e1'),
      await fleet.startEndpoint('e2'),
    ];
    putConfiguration(registry, 1, [createRoute({homeRegions: ['south']})]);
    putEndpoint(registry, near);
    putEndpoint(registry, far, {zone: 'south-a'});
    const test = await fleet.start(registry, 30);
    await waitUntilServing(test);
    for (let i = 0; i < 20; i++) await send(test, {object: `o${i}`});
    expect(near.ran).toEqual([]);
    expect(far.ran).toHaveLength(20);
  });

  it('lists the instances of the region in the directory without a killed one', async () => {
    const registry = new MemoryRegistry();
    putConfiguration(registry, 1, [createRoute()]);
    const first = await fleet.start(registry, 31);
    const second = await fleet.start(registry, 32);
    const {callerAddress} = second.settings;
    await waitFor('both are listed', async () =>
      (await queryDirectory(first, 'north')).includes(callerAddress),
    );
    await second.instance[Symbol.asyncDispose]();
    await waitFor(
      'the killed instance is no longer listed',
      async () =>
        !(await queryDirectory(first, 'north')).includes(callerAddress),
    );
    expect(await queryDirectory(first, 'north')).toContain(
      first.settings.callerAddress,
    );
  }, 20_000);

  // An item of another writer that cannot be decoded made every read of its region's follower fail.
  it('guards against an instance that stops following because of one unreadable item', async () => {
    const registry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('e1');
    putConfiguration(registry, 1, [createRoute()]);
    registry.set('endpoints/odd', 'not JSON');
    const instance = await fleet.start(registry, 97);
    putEndpoint(registry, stub);
    await waitUntilServing(instance);
    await waitFor('the endpoint is used', async () => {
      const {status} = await send(instance);
      return status === 200;
    });
  });

  // A datagram to an invalid address threw, so that the later destinations of a round got none.
  it('guards against an instance whose address keeps others from being heard', async () => {
    const registry = new MemoryRegistry();
    putConfiguration(registry, 1, [createRoute()]);
    for (let i = 0; i < 5; i++) {
      const address = '127.0.7.250:99999';
      registry.set(`members/odd-${i}`, {
        id: `odd-${i}`,
        zone: 'north-a',
        region: 'north',
        controlAddress: address,
        gossipAddress: address,
        callerAddress: address,
        bornAt: 1,
        version: 0,
        isServing: false,
        isFollowing: false,
        openRequests: {},
        heartbeat: 0,
      });
    }
    const errors: unknown[] = [];
    const recordError = (err: unknown) => errors.push(err);
    process.on('uncaughtException', recordError);
    const first = await fleet.start(registry, 98);
    // Found through its seed: which registered instances are probed first is random.
    const second = await fleet.start(registry, 99, {
      seedAddresses: [first.settings.controlAddress],
    });
    await waitUntilServing(first);
    await waitUntilServing(second);
    await waitFor('the instances know each other', async () => {
      const listed = await queryDirectory(first, 'north');
      return listed.includes(second.settings.callerAddress);
    });
    await sleep(PROBING_MS);
    process.off('uncaughtException', recordError);
    expect(errors).toEqual([]);
  });

  // A pending watch kept the follower's role for 16.5 s, while nobody else read the registry.
  it('guards against a follower that stays although its registry does not answer', async () => {
    const registry = new MemoryRegistry();
    const silentRegistry = new MemoryRegistry();
    for (const each of [registry, silentRegistry]) {
      putConfiguration(each, 1, [createRoute()]);
    }
    const first = await fleet.start(silentRegistry, 101);
    const second = await fleet.start(registry, 102, {
      seedAddresses: [first.settings.controlAddress],
    });
    await waitUntilServing(second);
    await waitFor('the second no longer follows', () =>
      second.lines.some(({event}) => event.startsWith('no longer following')),
    );
    silentRegistry.isSilent = true;
    putConfiguration(registry, 2, [createRoute({prefix: '/new/'})]);
    await waitFor(
      'both have the configuration',
      async () =>
        (await send(first)).status === 404 &&
        (await send(second)).status === 404,
    );
  }, 20_000);

  it('guards against a removal behind a watch that was cut, which is taken for a lapse', async () => {
    const registry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('e1');
    putConfiguration(registry, 1, [createRoute()]);
    putEndpoint(registry, stub);
    const first = await fleet.start(registry, 104);
    await waitUntilServing(first);
    const second = await fleet.start(registry, 105, {
      seedAddresses: [first.settings.controlAddress],
    });
    await waitUntilServing(second);
    await waitFor('the second no longer follows', () =>
      second.lines.some(({event}) => event.startsWith('no longer following')),
    );
    registry.cutWatches();
    await sleep(300);
    registry.set('endpoints/e1');
    await sleep(400);
    for (const instance of [first, second]) {
      expect((await send(instance)).status).toBe(503);
    }
  }, 20_000);

  // In a quiet registry, the outage lasted up to the next change, which then counted as a lapse.
  it('guards against an outage that lasts until the next change', async () => {
    const registry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('e1');
    putConfiguration(registry, 1, [createRoute()]);
    putEndpoint(registry, stub);
    const instance = await fleet.start(registry, 103);
    await waitUntilServing(instance);
    // The registration would be the change that ends the outage.
    await waitFor('the instance is registered', () =>
      instance.lines.some(({event}) => event === 'registered'),
    );
    await sleep(300);
    registry.fault = RegistryFault.NoResponse;
    registry.wakeWatches();
    await waitFor('the outage is detected', () =>
      instance.lines.some(({event}) => event === 'registry lost'),
    );
    registry.fault = undefined;
    await waitFor('the outage has ended', () =>
      instance.lines.some(({event}) => event === 'registry regained'),
    );
    await sleep(2_500);
    registry.set('endpoints/e1');
    await sleep(300);
    expect((await send(instance)).status).toBe(503);
  });
});
