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

/** Starts all members and returns them in the candidate order of the endpoint. */
function startInOrder(simulation: Simulation, untilMs: number) {
  for (const info of simulation.options.members) simulation.start(info);
  simulation.runUntil(untilMs);
  simulation.checkLimitSums();
  return simulation
    .getOrders([])
    .get(ENDPOINT.id)!
    .map(id => simulation.processes.get(id)!);
}

describe('limits in chosen schedules', () => {
  // Guards against reading a goodbye that waited through a pause as proof about the present.
  it('hold when a goodbye is read after the next process of its id acts', () => {
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

  // Guards against a process that counts on a peer that ignores it: the wall clock, and with
  // it the incarnation, went back across a restart.
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

  // Guards against an instance outside the settings that takes over from an owner that never
  // heard of it.
  it('hold when an unknown instance hears the list but not the owner', () => {
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

  // Guards against a second owner while the settings of a zone change instance by instance.
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

  // Guards against a third candidate that takes over while the owner still counts on the
  // acknowledgements of a second one that has just released.
  it('hold when the next candidate releases and a cut-off one hears it first', () => {
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

  // Guards against a pause that is longer than every timeout of the others.
  it('hold when the owner resumes after a takeover', () => {
    const simulation = createSimulation(3);
    const [first] = startInOrder(simulation, 40_000);
    simulation.pause(first!, 60_000);
    simulation.runUntil(95_000);
    expect(simulation.getProcessLimit(first!, ENDPOINT.id)).toBe(3);
    simulation.runUntil(140_000);
    expect(simulation.getProcessLimit(first!, ENDPOINT.id)).toBe(5);
  });

  // Guards against a successor that fills an endpoint that still runs the requests of the
  // instance that released it.
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

  // Guards against a successor, or the next process of the owner, that fills an endpoint that
  // still runs the requests of a process that died.
  it.each([false, true])(
    'stay reduced while requests of a dead owner may run, restarted: %s',
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

  // Guards against an instance that waits forever for candidates that never start.
  it('are given by age where another candidate never starts', () => {
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

  // Guards against a late message of an ended process that undoes what its successor said.
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
