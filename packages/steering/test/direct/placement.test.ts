import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  type Candidate,
  chooseEndpoint,
  chooseRegionPreference,
  DemandLevel,
  EndpointLoad,
  hash32,
  rankEndpoints,
  type RankedEndpoint,
  ServiceRanking,
} from '../../src/direct/index.js';

const RUNS = {numRuns: 1_000, seed: 20261204};

function createEndpoints(count: number): RankedEndpoint[] {
  return Array.from({length: count}, (_, i) => ({
    id: `e${i}`,
    hash: hash32(`e${i}`),
    weight: 1,
  }));
}

function createCandidate(changes: Partial<Candidate> = {}): Candidate {
  return {
    id: 'e0',
    rank: 0,
    slots: 4,
    depth: 0,
    serviceMs: 100,
    isWarm: false,
    roundTripMs: 1,
    failureRatio: 0,
    isBlocked: false,
    ...changes,
  };
}

describe('rankEndpoints', () => {
  it('moves only the objects of an endpoint that is removed', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 2, max: 40}),
        fc.string(),
        fc.nat(),
        (count, object, removedIndex) => {
          const all = createEndpoints(count);
          const removedId = `e${removedIndex % count}`;
          const remaining = all.filter(({id}) => id !== removedId);
          const before = rankEndpoints(hash32(object), all, count);
          const after = rankEndpoints(hash32(object), remaining, count);
          expect(after).toEqual(before.filter(id => id !== removedId));
        },
      ),
      RUNS,
    );
  });

  it('gives endpoints objects in proportion to their weights', () => {
    const endpoints = createEndpoints(4).map((endpoint, i) => ({
      ...endpoint,
      weight: i === 0 ? 3 : 1,
    }));
    const counts = new Map<string, number>();
    for (let i = 0; i < 6_000; i++) {
      const first = rankEndpoints(hash32(`object ${i}`), endpoints, 1)[0] ?? '';
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    expect(counts.get('e0')).toBeGreaterThan(2_800);
    expect(counts.get('e0')).toBeLessThan(3_200);
    expect(counts.get('e1')).toBeGreaterThan(880);
    expect(counts.get('e1')).toBeLessThan(1_120);
  });
});

describe('ServiceRanking', () => {
  const depth = 8;
  const endpoint = fc.record({
    id: fc.integer({min: 0, max: 30}).map(i => `e${i}`),
    slots: fc.nat(6),
    isOwn: fc.boolean(),
  });
  const step = fc.record({
    endpoints: fc.uniqueArray(endpoint, {selector: ({id}) => id}),
    preference: fc.constantFrom(1, 1.5, 4.5, 1_000),
  });

  it('ranks after any changes as a new ranking of all endpoints does', () => {
    fc.assert(
      fc.property(fc.array(step, {minLength: 1, maxLength: 8}), steps => {
        const ranking = new ServiceRanking({depth, maxObjects: 15});
        for (const {endpoints, preference} of steps) {
          ranking.update(endpoints);
          const weighted = endpoints.map(({id, slots, isOwn}) => ({
            id,
            hash: hash32(id),
            weight: isOwn ? slots * preference : slots,
          }));
          for (let i = 0; i < 20; i++) {
            const object = `pages object-${i}`;
            expect(ranking.rank(object, preference)).toEqual(
              rankEndpoints(hash32(object), weighted, depth),
            );
          }
        }
      }),
      {...RUNS, numRuns: 300},
    );
  });
});

describe('chooseRegionPreference', () => {
  it('keeps requests in their region if every region has capacity', () => {
    const supplies = ['a', 'b', 'c'].map(region => ({
      region,
      slots: 30,
      demand: 10,
    }));
    expect(chooseRegionPreference(supplies, 0.75)).toBe(1_000);
  });

  it('spreads the demand of a region that is short of slots', () => {
    const supplies = [
      {region: 'a', slots: 48, demand: 19},
      {region: 'b', slots: 8, demand: 19},
      {region: 'c', slots: 40, demand: 19},
    ];
    const preference = chooseRegionPreference(supplies, 0.75);
    expect(preference).toBeGreaterThan(1);
    expect(preference).toBeLessThan(10);
  });
});

describe('chooseEndpoint', () => {
  const options = {
    remainingMs: 1_000,
    objectiveMs: 0,
    queueLimit: 5,
  };

  it('keeps an object on the endpoint that caches it while the queue there is short', () => {
    const first = createCandidate({depth: 5});
    const second = createCandidate({id: 'e1', rank: 1});
    expect(chooseEndpoint([first, second], options).id).toBe('e0');
  });

  it('moves an object if queueing costs more than a cold cache', () => {
    const first = createCandidate({depth: 8, slots: 1, serviceMs: 100});
    const second = createCandidate({id: 'e1', rank: 1});
    const lenient = {...options, remainingMs: 5_000, queueLimit: 20};
    expect(chooseEndpoint([first, second], lenient).id).toBe('e1');
  });

  it('balances requests for an object among the endpoints that cache it', () => {
    const first = createCandidate({depth: 5});
    const second = createCandidate({id: 'e1', rank: 1, isWarm: true});
    expect(chooseEndpoint([first, second], options).id).toBe('e1');
  });

  it('limits the queueing time by the objective (guards against queues that make all answers late)', () => {
    const tight = {...options, objectiveMs: 150};
    const shortQueue = createCandidate({depth: 4, serviceMs: 150});
    expect(chooseEndpoint([shortQueue], tight).id).toBe('e0');
    const longQueue = createCandidate({depth: 6, serviceMs: 150});
    expect(chooseEndpoint([longQueue], tight).id).toBeUndefined();
  });

  it('uses a free slot for an object that is cached nowhere', () => {
    const free = createCandidate({rank: 1, serviceMs: 300});
    const tight = {...options, objectiveMs: 200};
    expect(chooseEndpoint([free], tight).id).toBe('e0');
  });

  it('refuses a request at once if no endpoint can finish it in time', () => {
    const full = createCandidate({depth: 30});
    const choice = chooseEndpoint([full], options);
    expect(choice.id).toBeUndefined();
    expect(choice.retryAfterMs).toBeGreaterThan(0);
    const late = createCandidate({serviceMs: 2_000});
    expect(chooseEndpoint([late], options).id).toBeUndefined();
  });

  it('never chooses a blocked endpoint', () => {
    fc.assert(
      fc.property(
        fc.array(fc.record({depth: fc.nat(12), isBlocked: fc.boolean()}), {
          maxLength: 4,
        }),
        states => {
          const candidates = states.map((state, rank) =>
            createCandidate({...state, id: `e${rank}`, rank}),
          );
          const {id} = chooseEndpoint(candidates, options);
          const chosen = candidates.find(candidate => candidate.id === id);
          expect(chosen?.isBlocked ?? false).toBe(false);
        },
      ),
      RUNS,
    );
  });
});

describe('EndpointLoad', () => {
  it('backs off from an unreachable endpoint, then sends one request at a time', () => {
    const load = new EndpointLoad();
    load.observeFailure(true, 0);
    expect(load.isUsable(100)).toBe(false);
    expect(load.isUsable(301)).toBe(true);
    load.begin(301);
    expect(load.isUsable(302)).toBe(false);
    load.observeAnswer(10, 400);
    expect(load.isUsable(401)).toBe(true);
  });

  it('excludes an endpoint that answers none of several requests', () => {
    const load = new EndpointLoad();
    load.observeAnswer(50, 0);
    load.begin(1_000);
    load.begin(1_010);
    expect(load.isUsable(1_300)).toBe(true);
    expect(load.isUsable(1_500)).toBe(false);
    load.end();
    load.observeAnswer(50, 1_600);
    expect(load.isUsable(1_700)).toBe(true);
  });

  it('counts the requests of other instances from a load report with decaying weight', () => {
    const load = new EndpointLoad();
    load.begin(0);
    load.observeReport({running: 3, waiting: 2, slots: 4}, 0);
    expect(load.getDepth(0)).toBe(5);
    expect(load.getDepth(500)).toBe(3);
  });
});

describe('DemandLevel', () => {
  it('switches to low demand after a delay, and back at once', () => {
    const level = new DemandLevel();
    expect(level.update(0.1, 0)).toBe(false);
    expect(level.update(0.1, 2_900)).toBe(false);
    expect(level.update(0.1, 3_000)).toBe(true);
    expect(level.plannedUtilization).toBe(0.3);
    expect(level.update(0.3, 4_000)).toBe(false);
    expect(level.update(0.4, 5_000)).toBe(true);
    expect(level.plannedUtilization).toBe(0.6);
  });

  it('ignores periods of low demand that are too short', () => {
    const level = new DemandLevel();
    for (let now = 0; now < 20_000; now += 500) {
      level.update(now % 2_000 === 0 ? 0.5 : 0.1, now);
      expect(level.plannedUtilization).toBe(0.6);
    }
  });
});
