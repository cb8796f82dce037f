import {Outcome} from '@primrosestage/common';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {chooseOwner, Locality, OwnerLoads} from '../../src/index.js';

const CANDIDATE = fc.record({
  slots: fc.nat({max: 6}),
  locality: fc.constantFrom(Locality.Self, Locality.Zone, Locality.Region),
  isTried: fc.boolean(),
  sent: fc.nat({max: 8}),
  reported: fc.option(fc.integer({min: -4, max: 8})),
  ageMs: fc.nat({max: 5_000}),
});

describe('chooseOwner', () => {
  it('guards against choosing an owner that was tried before or has no slots, and against choosing none if one is usable', () => {
    fc.assert(
      fc.property(
        fc.array(CANDIDATE, {maxLength: 8}),
        fc.double({min: 0, max: 0.999, noNaN: true}),
        (list, randomValue) => {
          const loads = new OwnerLoads();
          const candidates = list.map((candidate, i) => ({
            ...candidate,
            id: `i${i}`,
            loadKey: `i${i}/s`,
          }));
          for (const {loadKey, sent, reported, ageMs} of candidates) {
            for (let n = 0; n < sent; n++) loads.recordStart(loadKey);
            if (reported !== null)
              loads.recordReport(loadKey, reported, ageMs, 10_000);
          }
          const usable = candidates.filter(c => !c.isTried && c.slots > 0);
          const chosen = chooseOwner(candidates, {
            loads,
            tried: new Set(candidates.filter(c => c.isTried).map(({id}) => id)),
            random: () => randomValue,
            nowMs: 10_000,
          });
          if (usable.length === 0) expect(chosen).toBeUndefined();
          else expect(usable).toContain(chosen);
        },
      ),
      {seed: 4701, numRuns: 500},
    );
  });

  it('guards against a thundering herd on the owner with the most reported free slots', () => {
    const loads = new OwnerLoads();
    const candidates = ['i0', 'i1'].map(id => ({
      id,
      loadKey: id,
      slots: 10,
      locality: Locality.Zone,
    }));
    loads.recordReport('i0', 4, 0, 0);
    loads.recordReport('i1', 3, 0, 0);
    const counts = new Map<string, number>();
    for (let n = 0; n < 7; n++) {
      const options = {
        loads,
        tried: new Set<string>(),
        random: () => 0,
        nowMs: 0,
      };
      const chosen = chooseOwner(candidates, options);
      if (!chosen) continue;
      loads.recordStart(chosen.loadKey);
      counts.set(chosen.id, (counts.get(chosen.id) ?? 0) + 1);
    }
    expect(Object.fromEntries(counts)).toEqual({i0: 4, i1: 3});
  });

  it('guards against choosing an owner again right after it refused a request', () => {
    const loads = new OwnerLoads();
    const near = {id: 'a', loadKey: 'a', slots: 4, locality: Locality.Self};
    const far = {id: 'b', loadKey: 'b', slots: 4, locality: Locality.Region};
    loads.recordStart('a');
    loads.recordEnd('a', Outcome.NotRun, undefined, 0);
    const options = {loads, tried: new Set<string>(), random: () => 0};
    expect(chooseOwner([near, far], {...options, nowMs: 1})?.id).toBe('b');
    expect(chooseOwner([near, far], {...options, nowMs: 5_000})?.id).toBe('a');
  });
});
