import {describe, expect, it} from 'vitest';
import {FollowerElection, MemberTable} from '../../src/direct/index.js';
import {createInfo} from './create_members.js';

function elect(table: MemberTable): FollowerElection {
  return new FollowerElection(table);
}

describe('FollowerElection', () => {
  it('lets the first instance of a region follow, and the next if its heartbeats stop', () => {
    const table = new MemberTable(() => createInfo({id: 'c'}));
    expect(elect(table).shouldFollow(0)).toBe(true);
    table.merge([createInfo({isFollowing: true})], 0);
    expect(elect(table).shouldFollow(100)).toBe(false);
    expect(elect(table).shouldFollow(1_200)).toBe(true);
    const other = createInfo({id: 'a', region: 'other', isFollowing: true});
    table.merge([other], 2_000);
    expect(elect(table).shouldFollow(2_000)).toBe(true);
    table.merge([createInfo({isFollowing: false, heartbeat: 2})], 2_000);
    expect(elect(table).shouldFollow(2_000)).toBe(true);
  });

  it('ranks live instances of a region by their ids', () => {
    const table = new MemberTable(() => createInfo({id: 'c'}));
    table.merge([createInfo(), createInfo({id: 'a', region: 'other'})], 0);
    expect(elect(table).getRegionRank(100)).toBe(1);
    expect(elect(table).getRegionRank(9_000)).toBe(0);
  });

  it('chooses a standby in each zone, so that one remains if a zone is lost', () => {
    const table = new MemberTable(() => createInfo({id: 'a-1', zone: 'a'}));
    const ids = ['a-2', 'a-3', 'b-1', 'b-2', 'c-1'];
    table.merge(
      ids.map(id => createInfo({id, zone: id.slice(0, 1)})),
      0,
    );
    const standbys = elect(table)
      .getStandbys(100)
      .map(({id}) => id);
    expect(standbys).toEqual(['a-2', 'b-1', 'c-1']);
  });

  it('selects one follower of all regions, which reads the revision for the others', () => {
    const table = new MemberTable(() => createInfo({id: 'b', region: 'r2'}));
    expect(elect(table).isFirstFollower(0)).toBe(true);
    table.merge([createInfo({id: 'a', isFollowing: true})], 0);
    expect(elect(table).isFirstFollower(100)).toBe(false);
    expect(elect(table).isFirstFollower(9_000)).toBe(true);
  });

  it('lets standbys replace a failed follower before other instances do', () => {
    const createZoneTable = (id: string) => {
      const table = new MemberTable(() => createInfo({id, zone: 'a'}));
      const others = ['a-1', 'a-2', 'a-3', 'a-4'].filter(each => each !== id);
      const infos = others.map(each => createInfo({id: each, zone: 'a'}));
      table.merge(infos, 0);
      table.merge(
        [createInfo({id: 'a-1', zone: 'a', isFollowing: true, version: 2})],
        0,
      );
      return table;
    };
    expect(elect(createZoneTable('a-2')).shouldFollow(1_300)).toBe(true);
    expect(elect(createZoneTable('a-4')).shouldFollow(1_300)).toBe(false);
    expect(elect(createZoneTable('a-4')).shouldFollow(3_000)).toBe(true);
  });
});
