import {createHash64, getCandidateOrders} from '@primrosestage/steering';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createEndpoint, createInstanceInfo} from '../membership/simulation.js';

const hash = await createHash64();

function createTopology(zones: number, perZone: number, endpointCount: number) {
  const members = Array.from({length: zones * perZone}, (_, i) =>
    createInstanceInfo(`n${i}`, `z${i % zones}`, 'r'),
  );
  const endpoints = Array.from({length: endpointCount}, (_, i) =>
    createEndpoint(`e${i}`, `z${i % zones}`, 'r', 4),
  );
  return {members, endpoints};
}

describe('getCandidateOrders', () => {
  // Instances must compute the same owners from the same sets of members and endpoints.
  it('does not depend on the order of its inputs', () => {
    const {members, endpoints} = createTopology(3, 4, 60);
    const orders = getCandidateOrders({members, endpoints, hash});
    const reversed = getCandidateOrders({
      members: [...members].reverse(),
      endpoints: [...endpoints].reverse(),
      hash,
    });
    expect(reversed).toEqual(orders);
  });

  // No instance may own far more than its share of a zone's endpoints.
  it('gives no instance more than 1.25 times the mean of its zone', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 3}),
        fc.integer({min: 1, max: 12}),
        fc.integer({min: 1, max: 80}),
        (zones, perZone, endpointCount) => {
          const topology = createTopology(zones, perZone, endpointCount);
          const orders = getCandidateOrders({...topology, hash});
          const owned = new Map<string, number>();
          for (const {id, zone} of topology.endpoints) {
            const [owner = ''] = orders.get(id)!;
            const info = topology.members.find(m => m.id === owner);
            expect(info?.zone).toBe(zone);
            owned.set(owner, (owned.get(owner) ?? 0) + 1);
          }
          const perZoneCount = Math.ceil(endpointCount / zones);
          const bound = Math.ceil((1.25 * perZoneCount) / perZone);
          expect(Math.max(...owned.values())).toBeLessThanOrEqual(bound);
        },
      ),
      {seed: 4_117, numRuns: 100},
    );
  });

  // Instance lists lag differently per instance and must not change the order of the settings.
  it('keeps the order of the settings when instances are added', () => {
    const {members, endpoints} = createTopology(2, 3, 20);
    const added = createInstanceInfo('new', 'z0', 'r');
    const before = getCandidateOrders({members, endpoints, hash});
    const after = getCandidateOrders({
      members,
      endpoints,
      hash,
      additions: [added],
    });
    for (const {id} of endpoints) {
      expect(after.get(id)).toEqual([...before.get(id)!, 'new']);
    }
  });
});
