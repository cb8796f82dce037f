import {
  connectTcp,
  type ConnectFunction,
  createLogger,
  RealTimerService,
} from '@primrosestage/common';
import {
  createHash64,
  type Endpoint,
  type InstanceInfo,
  MemberStatus,
  Phase,
  Topology,
} from '@primrosestage/steering';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {listen, type Listener} from '../../src/http/index.js';
import {
  type ListedInstance,
  MembershipTask,
  type MembershipTaskOptions,
} from '../../src/membership/index.js';
import {createRpcHandler, router} from '../../src/rpc/index.js';
import {getTestPort} from '../support/get_test_port.js';

const TIMING = {
  heartbeatMs: 100,
  fenceAfterMs: 600,
  takeoverAfterMs: 1_500,
  joinAfterMs: 3_000,
  maxRequestMs: 1_500,
};
const LIST_LAG_MS = 1_500;
const hash = await createHash64();
const logger = createLogger({level: 'error', fields: {}});

interface RunningInstance {
  task: MembershipTask;
  listener: Listener;
}

const running = new Map<string, RunningInstance>();
let listed: ListedInstance[] = [];
/** Addresses to which connections fail. */
const unreachable = new Set<string>();

const connect: ConnectFunction = target => {
  const socket = connectTcp(target);
  if (unreachable.has(`${target.host}:${target.port}`)) socket.destroy();
  return socket;
};

function createTopology(count: number): Topology {
  const zones = ['a', 'a', 'b', 'c'];
  const instances: InstanceInfo[] = zones.slice(0, count).map((zone, i) => ({
    id: `n${i}`,
    zone,
    region: zone === 'c' ? 'r2' : 'r1',
    publicAddress: `127.30.1.${i + 1}:${getTestPort(0)}`,
    internalAddress: `127.30.1.${i + 1}:${getTestPort(1)}`,
    adminAddress: `127.30.1.${i + 1}:${getTestPort(2)}`,
  }));
  const endpoints: Endpoint[] = [
    ['e1', 'a', 'r1'],
    ['e2', 'b', 'r1'],
    ['e3', 'c', 'r2'],
  ].map(([id = '', zone = '', region = '']) => ({
    id,
    team: 't',
    service: 's',
    zone,
    region,
    address: '127.30.2.1:80',
    slots: 4,
    maxConnections: 10,
  }));
  return new Topology({
    regions: ['r1', 'r2'],
    zones: [],
    links: [],
    services: [],
    endpoints,
    instances,
  });
}

async function startInstance(
  topology: Topology,
  id: string,
  options: Partial<MembershipTaskOptions> = {},
): Promise<MembershipTask> {
  const self = topology.getInstanceOrThrow(id);
  const timers = new RealTimerService();
  const task = new MembershipTask({
    topology,
    self,
    incarnation: timers.wallNow(),
    hash,
    timing: TIMING,
    timers,
    logger,
    connect,
    listLagMs: LIST_LAG_MS,
    listIntervalMs: 200,
    suspicionMs: 300,
    readPlatformList: async () => listed,
    ...options,
  });
  const handler = createRpcHandler(router({membership: task.createRouter()}));
  const listener = await listen({
    address: self.internalAddress,
    handle: handler,
  });
  running.set(id, {task, listener});
  listed = [
    ...listed.filter(entry => entry.id !== id),
    {
      id,
      zone: self.zone,
      region: self.region,
      internal: self.internalAddress,
      public: self.publicAddress,
    },
  ];
  task.start();
  return task;
}

async function stopInstance(id: string): Promise<void> {
  const {task, listener} = running.get(id)!;
  running.delete(id);
  await task[Symbol.asyncDispose]();
  listener.server.closeAllConnections();
  await listener[Symbol.asyncDispose]();
  listed = listed.filter(entry => entry.id !== id);
}

function getTotalLimit(endpointId: string): number {
  let sum = 0;
  for (const {task} of running.values()) sum += task.getLimit(endpointId);
  return sum;
}

const within = (timeout: number) => ({timeout, interval: 20});

afterEach(async () => {
  unreachable.clear();
  for (const id of [...running.keys()]) await stopInstance(id);
  listed = [];
});

describe('MembershipTask', () => {
  // Guards against an instance without peers that waits forever for acknowledgements.
  it('owns all slots at once in a region with one instance', async () => {
    const topology = createTopology(4);
    const task = await startInstance(topology, 'n3');
    expect(task.getLimit('e3')).toBe(4);
    expect(task.getOwner('e3')?.id).toBe('n3');
  });

  // Guards against instances that disagree on the owner after they started together.
  it('agrees on one owner with all slots and delivers payloads', async () => {
    const topology = createTopology(4);
    const received: unknown[] = [];
    const tasks = [
      await startInstance(topology, 'n0', {
        handlePayload: (id, payload) => received.push([id, payload]),
      }),
      await startInstance(topology, 'n1', {getPayload: () => ({free: 3})}),
      await startInstance(topology, 'n2'),
      await startInstance(topology, 'n3'),
    ];
    await vi.waitFor(() => {
      for (const endpoint of ['e1', 'e2', 'e3']) {
        expect(getTotalLimit(endpoint)).toBe(4);
        const owners = tasks.map(task => task.getOwner(endpoint)?.id);
        expect(new Set(owners).size).toBe(1);
      }
      expect(received).toContainEqual(['n1', {free: 3}]);
    }, within(10_000));
    expect(
      tasks[0]!.getContacts().every(c => c.lastMessageAgeMs !== undefined),
    ).toBe(true);
  });

  // Guards against endpoints without an owner after a graceful shutdown.
  it('hands endpoints over when an instance leaves', async () => {
    const topology = createTopology(2);
    const tasks = [
      await startInstance(topology, 'n0'),
      await startInstance(topology, 'n1'),
    ];
    await vi.waitFor(() => expect(getTotalLimit('e1')).toBe(4), within(10_000));
    const owner = tasks.findIndex(task => task.getLimit('e1') === 4);
    const other = tasks[1 - owner]!;
    await tasks[owner]!.leave();
    expect(tasks[owner]!.getLimit('e1')).toBe(0);
    expect(other.members[0]).toMatchObject({
      isLeaving: true,
      phase: Phase.Released,
    });
    await vi.waitFor(
      () => expect(other.getLimit('e1')).toBe(4),
      within(TIMING.fenceAfterMs * 3),
    );
    await stopInstance(`n${owner}`);
    expect(other.getMembers(MemberStatus.Gone)).toHaveLength(1);
  });

  // Guards against a failed instance that stays in lookup responses, and against treating a
  // refused connection as proof that the process has ended.
  it('removes an unreachable instance without marking it as gone', async () => {
    const topology = createTopology(2);
    const n0 = await startInstance(topology, 'n0');
    await startInstance(topology, 'n1');
    await vi.waitFor(() => expect(getTotalLimit('e1')).toBe(4), within(10_000));
    for (const {internalAddress} of topology.instances) {
      unreachable.add(internalAddress);
    }
    const {listener} = running.get('n1')!;
    listener.server.closeAllConnections();
    running.get('n0')!.listener.server.closeAllConnections();
    await vi.waitFor(
      () => expect(n0.getMembers(MemberStatus.Removed)).toHaveLength(1),
      within(6_000),
    );
    expect(n0.getMembers(MemberStatus.Gone)).toHaveLength(0);
    expect(getTotalLimit('e1')).toBeLessThanOrEqual(4);
    unreachable.clear();
    await vi.waitFor(
      () => expect(n0.getMembers(MemberStatus.Alive)).toHaveLength(1),
      within(6_000),
    );
  });
});
