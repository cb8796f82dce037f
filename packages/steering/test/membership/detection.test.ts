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

/** Creates instances of one region per three zones, `perZone` in each zone. */
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

describe('detection of a dead instance', () => {
  // Guards against dead instances that stay in lookup answers.
  it('reaches every instance within the bound of the constants', () => {
    const zones = 6;
    // A zone is pinged once in a round of the other zones; a round may end with it and the
    // next begin without it. The change then needs as long to reach the last zone.
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

  // Guards against suspicions of live instances, which would leave lookup answers.
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

  // Guards against an instance that resumes after a pause and suspects everyone at once.
  it('does not count the time of a pause of its own as silence of others', () => {
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

  // Guards against members that stay removed after a partition or a pause ends.
  it('takes members back after a partition and after a pause', () => {
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
  // Guards against reads by every instance, which would exceed the store's rate.
  it('are made by the neighbours of a dead instance only', () => {
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
  // Guards against control traffic that grows with the fleet.
  it('do not grow from 7 to 200 members', () => {
    const small = createSimulation(1, 7);
    small.runUntil(3_000);
    const large = createSimulation(1, 200);
    large.runUntil(3_000);
    const smallRate = countMessages(small, 5_000);
    const largeRate = countMessages(large, 5_000);
    // Zone member, other zone, removed member, three introductions and two candidates behind
    // each endpoint owned.
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
