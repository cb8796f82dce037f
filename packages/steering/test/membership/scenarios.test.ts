import {
  createOwnershipState,
  type OwnershipEvent,
  OwnershipEventType,
  Phase,
  reduceOwnership,
} from '@primrosestage/steering';
import {describe, expect, it} from 'vitest';
import {
  createEndpoint,
  createInstanceInfo,
  PLATFORM,
  Simulation,
  TIMING,
} from './simulation.js';

const ENDPOINT = createEndpoint('e1', 'a', 'r', 5);

function createSimulation(count: number): Simulation {
  return new Simulation({
    seed: 7,
    members: Array.from({length: count}, (_, i) =>
      createInstanceInfo(`n${i}`, 'a', 'r'),
    ),
    endpoints: [ENDPOINT],
  });
}

/** Starts all members and returns their processes in the candidate order of the endpoint. */
function startInOrder(simulation: Simulation, untilMs: number) {
  for (const info of simulation.options.members) simulation.start(info);
  simulation.runUntil(untilMs);
  simulation.checkLimitSums();
  return simulation
    .getOrders([])
    .get(ENDPOINT.id)!
    .map(id => simulation.processes.get(id)!);
}

describe('limits in specific fault scenarios', () => {
  // A goodbye that is handled only after a pause must not count as proof that its sender has no
  // active process now.
  it('hold when a goodbye is handled after the next process of its id is active', () => {
    const simulation = createSimulation(2);
    const [first, second] = startInOrder(simulation, 40_000);
    simulation.pause(second!, 40_000);
    simulation.stop(first!);
    simulation.runUntil(41_200);
    simulation.cutBothWays(first!.id, second!.id, Infinity);
    simulation.cutBothWays(second!.id, PLATFORM, Infinity);
    simulation.start(first!.config.self);
    simulation.runUntil(100_000);
    expect(simulation.getLimitSum(ENDPOINT.id)).toBeGreaterThan(0);
  });

  // A process must not rely on a peer that ignores it because the wall clock, and with it the
  // incarnation, went back across a restart.
  it('hold when a process restarts with a lower incarnation', () => {
    const simulation = createSimulation(2);
    const [first] = startInOrder(simulation, 40_000);
    for (const {id} of simulation.options.members) {
      simulation.cutBothWays(id, PLATFORM, Infinity);
    }
    simulation.end(first!, 20_000);
    simulation.runUntil(40_300);
    simulation.start(first!.config.self, {incarnation: 0.5});
    simulation.runUntil(100_000);
  });

  // An instance that is not in the settings must not take over from an owner to which it is
  // unknown.
  it('hold when an unknown instance reads the list but cannot reach the owner', () => {
    const simulation = createSimulation(1);
    simulation.checkLimitSums();
    const joiner = createInstanceInfo('joiner', 'a', 'r');
    simulation.cutBothWays('n0', PLATFORM, Infinity);
    simulation.cutBothWays('n0', 'joiner', Infinity);
    simulation.start(simulation.options.members[0]!);
    simulation.start(joiner, {isInSettings: false});
    simulation.runUntil(60_000);
    expect(simulation.getLimitSum(ENDPOINT.id)).toBe(ENDPOINT.slots);
  });

  // A rolling change of the settings of a zone must not create a second owner.
  it('hold when instances with other settings compute another order', () => {
    const simulation = createSimulation(2);
    const [first, second] = startInOrder(simulation, 40_000);
    simulation.stop(second!);
    simulation.runUntil(45_000);
    const getOrders = () =>
      new Map([[ENDPOINT.id, [second!.id, first!.id] as const]]);
    simulation.start(second!.config.self, {digest: 'changed', getOrders});
    simulation.runUntil(80_000);
    expect(simulation.getLimitSum(ENDPOINT.id)).toBe(ENDPOINT.slots);
    simulation.stop(first!);
    simulation.runUntil(85_000);
    simulation.start(first!.config.self, {digest: 'changed', getOrders});
    simulation.runUntil(140_000);
    expect(simulation.getLimitSum(ENDPOINT.id)).toBe(ENDPOINT.slots);
  });

  // The third candidate must not take over while the owner still relies on acknowledgements of the
  // second candidate, which has just released.
  it('hold when only a partitioned candidate learns that the next one has released', () => {
    const simulation = createSimulation(3);
    const [first, second, third] = startInOrder(simulation, 40_000);
    simulation.cutBothWays(first!.id, third!.id, Infinity);
    simulation.runUntil(60_000);
    simulation.cuts.push({
      from: second!.id,
      to: first!.id,
      fromMs: simulation.now,
      untilMs: Infinity,
    });
    simulation.stop(second!);
    simulation.runUntil(80_000);
  });

  // An owner that is paused for longer than every timeout of the others must not resume with its
  // full limit, because another instance may have taken over.
  it('hold when the owner resumes after a takeover', () => {
    const simulation = createSimulation(3);
    const [first] = startInOrder(simulation, 40_000);
    simulation.pause(first!, 60_000);
    simulation.runUntil(95_000);
    expect(simulation.getProcessLimit(first!, ENDPOINT.id)).toBe(3);
    simulation.runUntil(140_000);
    expect(simulation.getProcessLimit(first!, ENDPOINT.id)).toBe(5);
  });

  // The new owner must not use the slots that requests of the releasing instance still occupy.
  it('subtract the requests that the releasing owner reports', () => {
    const simulation = createSimulation(2);
    const [first, second] = startInOrder(simulation, 40_000);
    first!.inFlight.set(ENDPOINT.id, 4);
    first!.isBusy = true;
    simulation.stop(first!);
    simulation.runUntil(45_000);
    expect(simulation.getProcessLimit(second!, ENDPOINT.id)).toBe(1);
    first!.inFlight.clear();
    first!.isBusy = false;
    simulation.runUntil(46_000);
    expect(simulation.getProcessLimit(second!, ENDPOINT.id)).toBe(5);
  });

  // The next candidate, or the restarted owner, must not use the slots that requests of a crashed
  // process may still occupy.
  it.each([false, true])(
    'stay reduced while requests of a crashed owner may run, restarted: %s',
    isRestarted => {
      const simulation = createSimulation(2);
      const [first] = startInOrder(simulation, 40_000);
      simulation.end(first!, 0);
      const endedAt = simulation.now;
      if (isRestarted) {
        simulation.runUntil(endedAt + 700);
        simulation.start(first!.config.self);
      }
      simulation.onStep = () => {
        for (const process of simulation.processes.values()) {
          const limit = simulation.getProcessLimit(process, ENDPOINT.id);
          expect(limit).toBeLessThanOrEqual(2);
        }
      };
      simulation.runUntil(endedAt + TIMING.maxRequestMs);
      simulation.onStep = () => {};
      simulation.runUntil(endedAt + 2 * TIMING.maxRequestMs);
      expect(simulation.getLimitSum(ENDPOINT.id)).toBe(5);
    },
  );

  // An instance must not wait forever for candidates that never start.
  it('become positive at the join age if another candidate never starts', () => {
    const simulation = createSimulation(2);
    simulation.checkLimitSums();
    simulation.start(simulation.options.members[0]!);
    simulation.runUntil(TIMING.joinAfterMs - 100);
    expect(simulation.getLimitSum(ENDPOINT.id)).toBe(0);
    simulation.runUntil(TIMING.joinAfterMs + 1_000);
    expect(simulation.getLimitSum(ENDPOINT.id)).toBeGreaterThan(0);
    simulation.runUntil(TIMING.maxRequestMs + 1_000);
    expect(simulation.getLimitSum(ENDPOINT.id)).toBe(ENDPOINT.slots);
  });

  // A late message of an ended process must not override the state of its successor.
  it('ignores messages of an earlier process of an id', () => {
    const config = {
      selfId: 'n0',
      incarnation: 1,
      digest: 'same',
      peers: ['n1'],
      isInSettings: true,
      timing: TIMING,
    };
    const createMessageEvent = (incarnation: number): OwnershipEvent => ({
      type: OwnershipEventType.MessageReceived,
      peer: {
        id: 'n1',
        incarnation,
        phase: Phase.Active,
        digest: 'same',
        ageMs: 100,
        excess: {},
        additions: [],
      },
    });
    const start = createOwnershipState(config, 0);
    const state = reduceOwnership(start, createMessageEvent(2), 10, config);
    expect(reduceOwnership(state, createMessageEvent(1), 20, config)).toBe(
      state,
    );
  });
});
