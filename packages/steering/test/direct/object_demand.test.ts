import {describe, expect, it} from 'vitest';
import {chooseEndpoint, ObjectDemand} from '../../src/direct/index.js';

const SCALE = {instances: 10, serviceMs: 130, slots: 3};

/** Counts requests at a constant rate and returns the numbers of endpoints after each. */
function count(
  demand: ObjectDemand,
  perSecond: number,
  {from, to}: {from: number; to: number},
): number[] {
  const counts: number[] = [];
  for (let now = from; now < to; now += 1_000 / perSecond) {
    demand.count('page', SCALE, now);
    counts.push(demand.getEndpointCount('page'));
  }
  return counts;
}

describe('ObjectDemand', () => {
  it('gives an object a further endpoint before its demand fills the first', () => {
    const demand = new ObjectDemand(100);
    // 10 instances x 0.3 requests per second x 0.13 s fill 0.13 of 3 slots.
    expect(count(demand, 0.3, {from: 0, to: 60_000}).at(-1)).toBe(1);
    expect(demand.popularObjectCount).toBe(0);
    // The same with 0.7 per second: 0.3 of the slots.
    expect(count(demand, 0.7, {from: 60_000, to: 120_000}).at(-1)).toBe(2);
    expect(demand.popularObjectCount).toBe(1);
    expect(count(demand, 20, {from: 120_000, to: 140_000}).at(-1)).toBe(3);
  });

  it('takes the endpoints back once demand falls, and keeps the number in between (guards against caches that change with every request)', () => {
    const demand = new ObjectDemand(100);
    count(demand, 0.7, {from: 0, to: 60_000});
    const between = count(demand, 0.4, {from: 60_000, to: 120_000});
    expect(new Set(between)).toEqual(new Set([2]));
    expect(count(demand, 0.1, {from: 120_000, to: 240_000}).at(-1)).toBe(1);
  });

  it('forgets the object without requests for the longest time beyond its limit', () => {
    const demand = new ObjectDemand(2);
    count(demand, 20, {from: 0, to: 10_000});
    for (const object of ['a', 'b']) demand.count(object, SCALE, 10_000);
    expect(demand.getEndpointCount('page')).toBe(1);
    expect(demand.popularObjectCount).toBe(0);
  });
});

describe('chooseEndpoint for a popular object', () => {
  const createCandidate = (rank: number, depth: number, spread?: number) => ({
    id: `e${rank}`,
    rank,
    slots: 3,
    depth,
    serviceMs: 100,
    isWarm: false,
    roundTripMs: 1,
    failureRatio: 0,
    isBlocked: false,
    spread,
  });
  const options = {remainingMs: 2_000, objectiveMs: 400, queueLimit: 5};

  it('spreads requests over its endpoints and avoids queues there', () => {
    const first = createCandidate(0, 0, 0.6);
    const further = createCandidate(1, 0, 0.4);
    expect(chooseEndpoint([first, further], options).id).toBe('e1');
    const queued = createCandidate(1, 4, 0.4);
    expect(chooseEndpoint([first, queued], options).id).toBe('e0');
  });

  it('keeps other objects on their first endpoint', () => {
    const first = createCandidate(0, 4);
    const further = createCandidate(1, 0);
    expect(chooseEndpoint([first, further], options).id).toBe('e0');
  });
});
