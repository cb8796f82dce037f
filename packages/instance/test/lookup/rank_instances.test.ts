import {Liveness, Topology} from '@primrosestage/steering';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {rankInstances} from '../../src/lookup/index.js';

const REGIONS = ['north', 'east', 'west'];
const INSTANCE = fc.record({
  region: fc.constantFrom(...REGIONS),
  zone: fc.constantFrom('a', 'b'),
  liveness: fc.constantFrom(
    Liveness.Live,
    Liveness.Live,
    Liveness.Suspected,
    Liveness.Leaving,
    Liveness.Gone,
  ),
  isDrained: fc.nat({max: 3}).map(n => n === 0),
});

describe('rankInstances', () => {
  it('guards against leaving, drained or far instances before usable near ones', () => {
    fc.assert(
      fc.property(
        fc.array(INSTANCE, {minLength: 1, maxLength: 20}),
        fc.constantFrom(...REGIONS),
        (list, region) => {
          const parts = list.map((part, i) => ({...part, id: `i${i}`}));
          const byId = new Map(parts.map(part => [part.id, part]));
          const get = (id: string) => {
            const part = byId.get(id);
            if (!part) throw new TypeError(id);
            return part;
          };
          const variants = rankInstances({
            topology: new Topology({
              regions: REGIONS,
              zones: [],
              links: [
                {
                  regions: ['north', 'east'],
                  capacityMbit: 1,
                  oneWayLatencyMs: 5,
                },
                {
                  regions: ['north', 'west'],
                  capacityMbit: 1,
                  oneWayLatencyMs: 9,
                },
                {
                  regions: ['east', 'west'],
                  capacityMbit: 1,
                  oneWayLatencyMs: 9,
                },
              ],
              services: [],
              endpoints: [],
              instances: parts.map(({id, region: home, zone}) => ({
                id,
                region: home,
                zone: `${home}-${zone}`,
                publicAddress: '',
                internalAddress: '',
                adminAddress: '',
              })),
            }),
            region,
            getLiveness: id => get(id).liveness,
            isDrained: ({id}) => get(id).isDrained,
          });
          const isOpen = ({liveness, isDrained}: (typeof parts)[number]) =>
            !isDrained &&
            (liveness === Liveness.Live || liveness === Liveness.Suspected);
          const rank = (part: (typeof parts)[number]) =>
            part.liveness === Liveness.Suspected
              ? 2
              : part.region === region
                ? 0
                : 1;
          const hasOpen = parts.some(isOpen);
          for (const variant of variants) {
            const found = variant.map(({id}) => get(id));
            expect(found.length).toBeGreaterThan(0);
            expect(found.length).toBeLessThanOrEqual(12);
            if (!hasOpen) continue;
            expect(found.every(isOpen)).toBe(true);
            const ranks = found.map(rank);
            expect(ranks).toEqual([...ranks].sort((a, b) => a - b));
          }
          const near = parts.filter(part => isOpen(part) && rank(part) === 0);
          if (near.length === 0) return;
          expect(new Set(variants.map(v => v[0]?.id))).toEqual(
            new Set(near.map(({id}) => id)),
          );
        },
      ),
      {seed: 3102, numRuns: 500},
    );
  });
});
