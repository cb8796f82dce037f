import {
  MembershipEventType,
  type MembershipState,
  MemberStatus,
  reduceMembership,
  SUSPECT_AFTER_HEARTBEATS,
} from '@primrosestage/steering';
import {describe, expect, it} from 'vitest';
import {
  createEndpoint,
  createInstanceInfo,
  HEARTBEAT_MS,
  Simulation,
  SUSPICION_MS,
} from './simulation.js';

const ENDPOINTS_PER_INSTANCE = 3;

/** Starts `perZone` instances in each zone, with three zones per region. */
function createSimulation(zones: number, perZone: number): Simulation {
  const members = Array.from({length: zones * perZone}, (_, i) => {
    const zone = i % zones;
    const region = `r${Math.floor(zone / 3)}`;
    return createInstanceInfo(`n${i}`, `z${zone}`, region);
  });
  const endpoints = members.flatMap(({id, zone, region}) =>
    Array.from({length: ENDPOINTS_PER_INSTANCE}, (_, i) =>
      createEndpoint(`${id}-${i}`, zone, region, 4),
    ),
  );
  const simulation = new Simulation({seed: 11, members, endpoints});
  for (const info of members) simulation.start(info);
  return simulation;
}

function countMessages(simulation: Simulation, durationMs: number): number {
  simulation.sentCounts.clear();
  simulation.runUntil(simulation.now + durationMs);
  const counts = [...simulation.sentCounts.values()];
  const seconds = durationMs / 1_000;
  return counts.reduce((a, b) => a + b, 0) / counts.length / seconds;
}

describe('detection of a crashed instance', () => {
  // A crashed instance must not stay in lookup answers.
  it('reaches every instance within the time that follows from the timing constants', () => {
    const zones = 6;
    // A zone is pinged once per round over the other zones, and it may be first in one round and
    // last in the next. Spreading the update to the last zone may take as long again.
    const boundMs =
      2 * 2 * zones * HEARTBEAT_MS +
      SUSPECT_AFTER_HEARTBEATS * HEARTBEAT_MS +
      SUSPICION_MS +
      HEARTBEAT_MS;
    for (const victim of ['n0', 'n5', 'n7']) {
      const simulation = createSimulation(zones, 2);
      simulation.runUntil(30_000);
      simulation.end(simulation.processes.get(victim)!, 60_000);
      simulation.runUntil(simulation.now + boundMs);
      for (const process of simulation.processes.values()) {
        if (process.id === victim) continue;
        expect(process.state.members.get(victim)!.status).toBe(
          MemberStatus.Removed,
        );
      }
    }
  });

  // A suspected live instance would be missing from lookup answers.
  it('suspects nobody while all are up, also across one cut', () => {
    const simulation = createSimulation(3, 3);
    simulation.runUntil(20_000);
    simulation.cutBothWays('n0', 'n3', Infinity);
    simulation.onStep = () => {
      for (const process of simulation.processes.values()) {
        for (const {status} of process.state.members.values()) {
          expect(status).toBe(MemberStatus.Alive);
        }
      }
    };
    simulation.runUntil(50_000);
  });

  // An instance that resumes after a pause must not suspect all others at once.
  it('does not suspect others after a pause of its own process', () => {
    const simulation = createSimulation(1, 3);
    simulation.runUntil(20_000);
    const {config, state} = simulation.processes.get('n0')!;
    const tick = (before: MembershipState, now: number) =>
      reduceMembership(before, {type: MembershipEventType.Tick}, now, config)
        .state;
    const startMs = state.lastTickAt + HEARTBEAT_MS;
    const waiting = tick(state, startMs);
    expect(waiting.pendingPings.size).toBeGreaterThan(0);
    const resumed = tick(waiting, startMs + 20_000);
    for (const {status} of resumed.members.values()) {
      expect(status).toBe(MemberStatus.Alive);
    }
  });

  // Members must not stay removed after a partition or a pause ends.
  it('marks removed members alive again after a partition and after a pause', () => {
    const simulation = createSimulation(3, 2);
    simulation.runUntil(20_000);
    for (const id of ['n1', 'n2', 'n4', 'n5']) {
      simulation.cutBothWays('n0', id, 50_000);
      simulation.cutBothWays('n3', id, 50_000);
    }
    simulation.pause(simulation.processes.get('n5')!, 20_000);
    simulation.runUntil(45_000);
    expect(
      simulation.processes.get('n0')!.state.members.get('n1')!.status,
    ).toBe(MemberStatus.Removed);
    simulation.runUntil(80_000);
    for (const process of simulation.processes.values()) {
      for (const {status} of process.state.members.values()) {
        expect(status).toBe(MemberStatus.Alive);
      }
    }
  });
});

describe('reads of the platform list', () => {
  // Reads by every instance would exceed the store's rate limit.
  it('are made only by a few candidates of the endpoints of a crashed instance', () => {
    const simulation = createSimulation(3, 12);
    simulation.runUntil(30_000);
    simulation.listReadCount = 0;
    simulation.runUntil(60_000);
    expect(simulation.listReadCount).toBe(0);
    simulation.end(simulation.processes.get('n4')!, 5_000);
    simulation.runUntil(70_000);
    const readsBefore = simulation.listReadCount;
    simulation.runUntil(72_000);
    const reads = simulation.listReadCount - readsBefore;
    expect(reads).toBeGreaterThan(0);
    expect(reads).toBeLessThan(36);
  });
});

describe('messages of an instance', () => {
  // Control traffic per instance must not grow with the number of instances.
  it('do not grow from 7 to 200 members', () => {
    const small = createSimulation(1, 7);
    small.runUntil(3_000);
    const large = createSimulation(1, 200);
    large.runUntil(3_000);
    const smallRate = countMessages(small, 5_000);
    const largeRate = countMessages(large, 5_000);
    // A zone member, a member of another zone, a removed member, three peers that have yet to
    // acknowledge this instance, and two candidates per owned endpoint.
    const perHeartbeat = 3 + 3 + 2 * Math.ceil(1.25 * ENDPOINTS_PER_INSTANCE);
    expect(smallRate).toBeLessThanOrEqual(
      (perHeartbeat * 1_000) / HEARTBEAT_MS,
    );
    expect(largeRate).toBeLessThanOrEqual(
      (perHeartbeat * 1_000) / HEARTBEAT_MS,
    );
    expect(largeRate).toBeLessThan(2 * smallRate);
  });
});
