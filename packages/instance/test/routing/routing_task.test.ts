import {
  createLogger,
  InvariantMonitor,
  Outcome,
  Priority,
  RequestClass,
  VirtualTimerService,
} from '@primrosestage/common';
import {type Drain, DrainKind, PRESET_SCHEMA} from '@primrosestage/control';
import {Liveness, Topology} from '@primrosestage/steering';
import {Registry} from 'prom-client';
import {describe, expect, it} from 'vitest';
import {RoutingTask, type RoutingReport} from '../../src/routing/index.js';

const REGIONS = ['north', 'east', 'west'];
const SERVICE = {team: 'team', name: 'search', priority: Priority.Normal};

function createTopology(): Topology {
  const zones = REGIONS.flatMap(region =>
    ['a', 'b'].map(letter => ({name: `${region}-${letter}`, region})),
  );
  return new Topology({
    regions: REGIONS,
    zones,
    links: [
      ['north', 'east'],
      ['north', 'west'],
      ['east', 'west'],
    ].map(([a = '', b = '']) => ({
      regions: [a, b],
      capacityMbit: 4000,
      oneWayLatencyMs: a === 'north' && b === 'east' ? 10 : 20,
    })),
    services: [SERVICE],
    endpoints: zones.map(({name, region}, i) => ({
      id: `search-${name}`,
      team: 'team',
      service: 'search',
      zone: name,
      region,
      address: `127.60.0.${i + 1}:80`,
      slots: 4,
      maxConnections: 10,
    })),
    instances: zones.map(({name, region}) => ({
      id: `${name}-1`,
      zone: name,
      region,
      publicAddress: '',
      internalAddress: '',
      adminAddress: '',
    })),
  });
}

function createHarness(report?: RoutingReport) {
  const topology = createTopology();
  const timers = new VirtualTimerService();
  const logger = createLogger({level: 'error', fields: {}});
  const monitor = new InvariantMonitor(logger, new Registry());
  const suspected = new Set<string>();
  let drains: Drain[] = [];
  let seed = 1;
  const task = new RoutingTask({
    topology,
    self: topology.getInstanceOrThrow('north-a-1'),
    ownership: {
      getOwner: id => topology.getInstance(id.replace('search-', '') + '-1'),
      getLimit: () => 4,
    },
    configuration: {
      getPreset: () => PRESET_SCHEMA.parse({shiftCap: 0.2}),
      getDrains: () => drains,
    },
    timers,
    monitor,
    random: () => (seed = (seed * 48271) % 2147483647) / 2147483647,
    getLiveness: id => (suspected.has(id) ? Liveness.Suspected : Liveness.Live),
    getReportedFreeSlots: id =>
      suspected.has(id) ? undefined : {freeSlots: 4, ageMs: 100},
    getInstanceCount: () => 2,
    fetchReport: async () => report,
  });
  const send = (tried: string[] = [], outcome = Outcome.Answered) => {
    const target = task.selectTarget({
      service: SERVICE,
      requestClass: RequestClass.Idempotent,
      sourceRegion: 'north',
      tried: new Set(tried),
    });
    if (target) {
      const result = {target, service: SERVICE, outcome, latencyMs: 5};
      task.recordResult({...result, freeSlots: 4});
    }
    return target;
  };
  const setDrains = (next: Drain[]) => (drains = next);
  return {task, timers, monitor, suspected, send, setDrains};
}

describe('RoutingTask', () => {
  it('guards against a request that leaves its region while the region has free slots', async () => {
    const {task, send} = createHarness();
    for (let i = 0; i < 50; i++) expect(send()?.owner.id).toBe('north-a-1');
    await task[Symbol.asyncDispose]();
  });

  it('guards against a target that is drained or was tried before', async () => {
    const {task, timers, send, setDrains} = createHarness();
    expect(send(['north-a-1'])?.owner.id).toBe('north-b-1');
    setDrains([{kind: DrainKind.Instance, target: 'north-a-1'}]);
    timers.advance(200);
    for (let i = 0; i < 20; i++) expect(send()?.owner.id).toBe('north-b-1');
    setDrains([{kind: DrainKind.Zone, target: 'north-b'}]);
    timers.advance(200);
    for (let i = 0; i < 20; i++) expect(send()?.owner.id).toBe('north-a-1');
    await task[Symbol.asyncDispose]();
  });

  it('guards against refusing a request while the only remaining owners are suspected but not known to be gone', async () => {
    const {task, timers, suspected, send, setDrains} = createHarness();
    const others = ['east', 'west'];
    setDrains([
      ...others.map(target => ({kind: DrainKind.Region, target})),
      {kind: DrainKind.Zone, target: 'north-a'},
    ]);
    suspected.add('north-b-1');
    timers.advance(200);
    expect(send()?.owner.id).toBe('north-b-1');
    expect(send(['north-b-1'])).toBeUndefined();
    await task[Symbol.asyncDispose]();
  });

  it('guards against traffic of a failed region that is shifted faster than the cap or never', async () => {
    const {task, timers, monitor, send, setDrains} = createHarness();
    const countRegions = (n: number) => {
      const counts = {north: 0, east: 0, west: 0, refused: 0};
      for (let i = 0; i < n; i++) {
        const region = send()?.region as keyof typeof counts | undefined;
        counts[region ?? 'refused']++;
        timers.advance(10);
      }
      return counts;
    };
    expect(countRegions(1_000)).toMatchObject({north: 1_000});
    setDrains([
      {kind: DrainKind.Endpoint, target: 'search-north-a'},
      {kind: DrainKind.Endpoint, target: 'search-north-b'},
    ]);
    const first = countRegions(1_000);
    expect(first.east + first.west).toBeLessThanOrEqual(200);
    expect(first.east + first.west).toBeGreaterThan(80);
    for (let i = 0; i < 10; i++) countRegions(1_000);
    expect(countRegions(1_000)).toMatchObject({north: 0, refused: 0});
    expect(monitor.violationCount).toBe(0);
    await task[Symbol.asyncDispose]();
  });

  it('guards against a restart that starts at the current target instead of the shares of a peer', async () => {
    const shares = {'team/search': {north: 0.25, east: 0.75, west: 0}};
    const {task, send} = createHarness({
      region: 'north',
      shares,
      regionLoad: {},
    });
    await task.loadPeerShares();
    send();
    expect(task.getStatus().shares[0]?.shares).toEqual({
      north: 0.25,
      east: 0.75,
      west: 0,
    });
    await task[Symbol.asyncDispose]();
  });
});
