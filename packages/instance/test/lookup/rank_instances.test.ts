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
  it('ranks usable instances of the region first (guards against leaving, drained or remote instances before them)', () => {
    fc.assert(
      fc.property(
        fc.array(INSTANCE, {minLength: 1, maxLength: 20}),
        fc.constantFrom(...REGIONS),
        (list, region) => {
          const instances = list.map((instance, i) => ({
            ...instance,
            id: `i${i}`,
          }));
          const byId = new Map(
            instances.map(instance => [instance.id, instance]),
          );
          const get = (id: string) => {
            const instance = byId.get(id);
            if (!instance) throw new TypeError(id);
            return instance;
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
              instances: instances.map(({id, region: home, zone}) => ({
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
          const isOpen = ({liveness, isDrained}: (typeof instances)[number]) =>
            !isDrained &&
            (liveness === Liveness.Live || liveness === Liveness.Suspected);
          const rank = (instance: (typeof instances)[number]) =>
            instance.liveness === Liveness.Suspected
              ? 2
              : instance.region === region
                ? 0
                : 1;
          const hasOpen = instances.some(isOpen);
          for (const variant of variants) {
            const found = variant.map(({id}) => get(id));
            expect(found.length).toBeGreaterThan(0);
            expect(found.length).toBeLessThanOrEqual(12);
            if (!hasOpen) continue;
            expect(found.every(isOpen)).toBe(true);
            const ranks = found.map(rank);
            expect(ranks).toEqual([...ranks].sort((a, b) => a - b));
          }
          const near = instances.filter(
            instance => isOpen(instance) && rank(instance) === 0,
          );
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
