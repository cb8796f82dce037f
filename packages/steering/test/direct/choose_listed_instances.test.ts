import {describe, expect, it} from 'vitest';
import {chooseListedInstances, type MemberInfo} from '../../src/index.js';

function createInstance(
  id: string,
  capacity?: number,
  utilization = 0.05,
): MemberInfo {
  return {
    id,
    zone: 'a',
    region: 'north',
    controlAddress: '',
    gossipAddress: '',
    callerAddress: id,
    bornAt: 1,
    version: 1,
    isServing: true,
    isFollowing: false,
    openRequests: {},
    capacity,
    utilization,
    heartbeat: 1,
  };
}

/** Creates instances whose ids begin with their group. */
function createInstances(
  ...groups: Array<[name: string, count: number, cores?: number, busy?: number]>
): MemberInfo[] {
  return groups.flatMap(([name, count, cores, busy]) =>
    Array.from({length: count}, (_, i) =>
      createInstance(`${name}-${i}`, cores, busy),
    ),
  );
}

function listIds(instances: MemberInfo[]): string[] {
  return chooseListedInstances(instances).map(({id}) => id);
}

describe('chooseListedInstances', () => {
  it('guards against callers spread over many small instances beside large ones', () => {
    const fleet = createInstances(['small', 43, 0.19], ['large', 4, 1.35]);
    expect(listIds(fleet)).toEqual([
      'large-0',
      'large-1',
      'large-2',
      'large-3',
    ]);
  });

  it('guards against overloading the listed instances while others are idle', () => {
    const busy = createInstances(
      ['small', 40, 0.2, 0.02],
      ['large', 4, 1.35, 0.8],
    );
    expect(listIds(busy).length).toBeGreaterThan(30);
    const rising = [0.1, 0.3, 0.5, 0.7, 0.9].map(
      busyFraction =>
        listIds(
          createInstances(
            ['small', 40, 0.2, 0.02],
            ['large', 4, 1.35, busyFraction],
          ),
        ).length,
    );
    expect(rising).toEqual([...rising].sort((a, b) => a - b));
  });

  it('guards against a list that changes with itself', () => {
    // The same demand on all instances and on the listed ones only.
    const even = createInstances(['small', 20, 0.5, 0.2], ['large', 4, 2, 0.2]);
    const [demand] = [(20 * 0.5 + 4 * 2) * 0.2];
    const first = listIds(even);
    const capacity = even
      .filter(({id}) => first.includes(id))
      .reduce((sum, each) => sum + (each.capacity ?? 0), 0);
    const concentrated = even.map(each => ({
      ...each,
      utilization: first.includes(each.id) ? demand / capacity : 0,
    }));
    expect(listIds(concentrated)).toEqual(first);
  });

  it('guards against a list without a spare instance', () => {
    expect(listIds(createInstances(['only', 3, 1]))).toHaveLength(3);
    const uneven = createInstances(['huge', 1, 64], ['small', 9, 0.2]);
    expect(listIds(uneven)).toHaveLength(4);
  });

  it('guards against leaving out instances whose capacity is not known', () => {
    const mixed = createInstances(['old', 3], ['large', 4, 1.35]);
    expect(listIds(mixed)).toHaveLength(7);
  });
});
