import {
  chooseWatchers,
  computeDigest,
  ConfigurationSource,
  type ConfigurationState,
  createHash64,
  findNewerTeams,
  getRevisions,
  reduceConfiguration,
  splitSubtree,
} from '@primrosestage/steering';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

const SEED = 406;
const hash = await createHash64();
const IDS = fc.uniqueArray(fc.stringMatching(/^[a-z0-9]{1,8}$/), {
  minLength: 1,
  maxLength: 200,
});

describe('reduceConfiguration', () => {
  it('never reverts a revision (guards against stale stores and peers)', () => {
    const event = fc.record({
      team: fc.constantFrom('a', 'b'),
      document: fc.option(fc.record({revision: fc.nat(20)}), {nil: undefined}),
      source: fc.constantFrom(...Object.values(ConfigurationSource)),
    });
    fc.assert(
      fc.property(fc.array(event), events => {
        let state: ConfigurationState<{revision: number}> = new Map();
        for (const e of events) {
          const before = getRevisions(state);
          state = reduceConfiguration(state, e, 0);
          const after = getRevisions(state);
          expect(findNewerTeams(before, after)).toEqual([]);
          if (e.document) {
            expect(after[e.team]).toBeGreaterThanOrEqual(e.document.revision);
          }
        }
      }),
      {seed: SEED},
    );
  });
});

describe('computeDigest', () => {
  it('depends on the revisions alone (guards against pulls that never end)', () => {
    expect(computeDigest({a: 1, b: 2}, hash)).toBe(
      computeDigest({b: 2, a: 1}, hash),
    );
    expect(computeDigest({a: 1, b: 2}, hash)).not.toBe(
      computeDigest({a: 2, b: 1}, hash),
    );
  });
});

describe('chooseWatchers', () => {
  it('moves one watch at most when an instance leaves (guards against reconnecting all watches)', () => {
    fc.assert(
      fc.property(IDS, fc.nat(), (ids, n) => {
        const watchers = chooseWatchers('z', ids, hash);
        expect(watchers).toHaveLength(Math.min(2, ids.length));
        const leavingId = ids[n % ids.length];
        const remainingWatchers = chooseWatchers(
          'z',
          ids.filter(id => id !== leavingId),
          hash,
        );
        for (const id of watchers)
          if (id !== leavingId) expect(remainingWatchers).toContain(id);
      }),
      {seed: SEED},
    );
  });
});

describe('splitSubtree', () => {
  it('reaches every instance once within 3 levels (guards against instances that no push reaches)', () => {
    const visit = (ids: readonly string[]): {seen: string[]; depth: number} => {
      const children = splitSubtree(ids);
      expect(children.length).toBeLessThanOrEqual(8);
      const below = children.map(({rest}) => visit(rest));
      return {
        seen: [
          ...children.map(({head}) => head),
          ...below.flatMap(b => b.seen),
        ],
        depth: children.length && 1 + Math.max(...below.map(b => b.depth)),
      };
    };
    fc.assert(
      fc.property(IDS, ids => {
        const {seen, depth} = visit(ids);
        expect(seen.sort()).toEqual([...ids].sort());
        expect(depth).toBeLessThanOrEqual(3);
      }),
      {seed: SEED},
    );
  });
});
