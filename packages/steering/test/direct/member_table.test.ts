import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type MemberInfo, MemberTable} from '../../src/direct/index.js';

function createInfo(changes: Partial<MemberInfo> = {}): MemberInfo {
  return {
    id: 'b',
    zone: 'z',
    region: 'r',
    controlAddress: '127.0.0.1:1',
    gossipAddress: '127.0.0.1:1',
    callerAddress: '127.0.0.1:2',
    bornAt: 1,
    version: 1,
    isServing: true,
    isFollowing: false,
    openRequests: {pages: 2},
    heartbeat: 1,
    ...changes,
  };
}

function createTable(): MemberTable {
  return new MemberTable(() => createInfo({id: 'a'}));
}

function getServingIds(table: MemberTable, now: number): string[] {
  return table.getServing(now).map(({id}) => id);
}

describe('MemberTable', () => {
  it('returns an instance as serving until its heartbeats have stopped for a while', () => {
    const table = createTable();
    table.merge([createInfo()], 0);
    expect(getServingIds(table, 2_900)).toEqual(['a', 'b']);
    expect(getServingIds(table, 3_100)).toEqual(['a']);
  });

  it('does not count a repeated heartbeat as a sign of liveness', () => {
    const table = createTable();
    table.merge([createInfo()], 0);
    for (let now = 500; now <= 4_000; now += 500) {
      table.merge([createInfo()], now);
    }
    expect(getServingIds(table, 4_000)).toEqual(['a']);
  });

  it('never lets an older process of an instance replace a newer one', () => {
    fc.assert(
      fc.property(
        fc.array(fc.record({bornAt: fc.nat(5), heartbeat: fc.nat(20)}), {
          minLength: 1,
        }),
        deliveries => {
          const table = createTable();
          for (const delivery of deliveries) {
            table.merge([createInfo(delivery)], 0);
          }
          const bornAt = Math.max(...deliveries.map(each => each.bornAt));
          expect(table.getOthers()[0]?.bornAt).toBe(bornAt);
        },
      ),
      {numRuns: 1_000, seed: 20261204},
    );
  });

  it('counts instances without heartbeats for divided limits until it forgets them', () => {
    const table = createTable();
    table.merge([createInfo()], 0);
    table.expire(599_000);
    expect(table.getCount()).toBe(2);
    table.expire(601_000);
    expect(table.getCount()).toBe(1);
  });

  it('forgets an instance that announced its stop sooner than one that may be cut off', () => {
    const table = createTable();
    table.merge([createInfo()], 0);
    table.merge([createInfo({version: 2, isServing: false})], 0);
    table.expire(20_000);
    expect(table.getCount()).toBe(2);
    table.expire(31_000);
    expect(table.getCount()).toBe(1);
  });

  it('lets the first instance of a region follow, and the next if its heartbeats stop', () => {
    const table = new MemberTable(() => createInfo({id: 'c'}));
    expect(table.shouldFollow(0)).toBe(true);
    table.merge([createInfo({isFollowing: true})], 0);
    expect(table.shouldFollow(100)).toBe(false);
    expect(table.shouldFollow(1_200)).toBe(true);
    const other = createInfo({id: 'a', region: 'other', isFollowing: true});
    table.merge([other], 2_000);
    expect(table.shouldFollow(2_000)).toBe(true);
    table.merge([createInfo({isFollowing: false, heartbeat: 2})], 2_000);
    expect(table.shouldFollow(2_000)).toBe(true);
  });

  it('ranks live instances of a region by their ids', () => {
    const table = new MemberTable(() => createInfo({id: 'c'}));
    table.merge([createInfo(), createInfo({id: 'a', region: 'other'})], 0);
    expect(table.getRegionRank(100)).toBe(1);
    expect(table.getRegionRank(9_000)).toBe(0);
  });

  it('adds up the open requests of live instances', () => {
    const table = createTable();
    table.merge([createInfo()], 0);
    expect(table.getOpenRequests('pages', 100)).toBe(4);
    expect(table.getOpenRequests('pages', 10_000)).toBe(2);
    expect(table.getOpenRequests('other', 100)).toBe(0);
  });

  it('does not return an instance as serving if it is only registered', () => {
    const table = createTable();
    table.addRegistered([createInfo()], 0);
    expect(getServingIds(table, 1)).toEqual(['a']);
    expect(table.getCount()).toBe(2);
  });

  it('applies heartbeats only to the process whose announcement is known', () => {
    const table = createTable();
    table.merge([createInfo()], 0);
    table.mergeHeartbeats({b: 2, unknown: 9}, 2_000);
    expect(getServingIds(table, 4_900)).toEqual(['a', 'b']);
    expect(table.selectHeartbeats(9, 4_900)).toEqual({b: 2});
    // A restarted process starts far above the last heartbeat.
    table.mergeHeartbeats({b: 90_000}, 4_900);
    expect(getServingIds(table, 5_100)).toEqual(['a']);
  });

  it('guards against an old announcement that replaces a newer one by a higher heartbeat', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.oneof(
            fc.record({version: fc.nat(4), heartbeat: fc.nat(20)}),
            fc.nat(20),
          ),
          {minLength: 1},
        ),
        deliveries => {
          const table = createTable();
          table.merge([createInfo({version: 0, heartbeat: 0})], 0);
          let version = 0;
          let heartbeat = 0;
          for (const delivery of deliveries) {
            if (typeof delivery === 'number') {
              table.mergeHeartbeats({b: delivery}, 0);
              heartbeat = Math.max(heartbeat, delivery);
            } else {
              table.merge([createInfo(delivery)], 0);
              version = Math.max(version, delivery.version);
              heartbeat = Math.max(heartbeat, delivery.heartbeat);
            }
          }
          expect(table.getOthers()[0]).toMatchObject({version, heartbeat});
        },
      ),
      {numRuns: 1_000, seed: 20261204},
    );
  });

  it('has the same digest for the same announcements regardless of heartbeats', () => {
    const one = createTable();
    const other = createTable();
    one.merge([createInfo(), createInfo({id: 'c'})], 0);
    other.merge([createInfo({id: 'c', heartbeat: 9}), createInfo()], 0);
    expect(one.getDigest(100)).toBe(other.getDigest(100));
    other.merge([createInfo({isServing: false, version: 2})], 0);
    expect(one.getDigest(100)).not.toBe(other.getDigest(100));
  });

  it('returns recently changed announcements', () => {
    const table = createTable();
    table.merge([createInfo(), createInfo({id: 'c'})], 0);
    table.merge([createInfo({isServing: false, version: 2})], 2_000);
    expect(table.getRecentChanges(9, 2_100).map(({id}) => id)).toEqual(['b']);
    expect(table.getRecentChanges(9, 9_000)).toEqual([]);
  });

  it('guards against more changed announcements than a datagram can hold', () => {
    const table = createTable();
    const ids = Array.from({length: 300}, (_, i) => `i-${i}`);
    table.merge(
      ids.map(id => createInfo({id})),
      0,
    );
    table.merge([createInfo({id: 'i-7', isServing: false, version: 2})], 100);
    const changed = table.getRecentChanges(12, 200);
    expect(changed).toHaveLength(12);
    expect(changed[0]?.id).toBe('i-7');
  });

  it('guards against a restart that is ignored because the wall clock was set back', () => {
    let bornAt = 500;
    const restarted = new MemberTable(() => createInfo({bornAt}));
    const other = createTable();
    other.merge([createInfo({bornAt: 2_000, heartbeat: 2_050})], 0);
    const later = other.getLaterProcess(createInfo({bornAt}));
    restarted.merge(later ? [later] : [], 10_000);
    bornAt = Math.max(bornAt, restarted.minOwnBornAt);
    other.merge([createInfo({bornAt, heartbeat: bornAt})], 10_000);
    expect(getServingIds(other, 10_100)).toEqual(['a', 'b']);
    expect(other.getLaterProcess(createInfo({bornAt}))).toBeUndefined();
  });

  it('limits the heartbeats of a message and forwards all of them in turn', () => {
    const table = new MemberTable(() => createInfo({id: 'self'}));
    const own = Array.from({length: 100}, (_, i) => `own-${i}`);
    const remote = Array.from({length: 200}, (_, i) => `remote-${i}`);
    table.merge(
      [
        ...own.map(id => createInfo({id})),
        ...remote.map(id => createInfo({id, region: 'other'})),
      ],
      0,
    );
    const forwarded = new Set<string>();
    for (let message = 0; message < 13; message++) {
      const ids = Object.keys(table.selectHeartbeats(64, 100));
      expect(ids).toHaveLength(64);
      for (const id of ids) forwarded.add(id);
    }
    expect(forwarded.size).toBe(300);
  });

  it('chooses a standby in each zone, so that one remains if a zone is lost', () => {
    const table = new MemberTable(() => createInfo({id: 'a-1', zone: 'a'}));
    const ids = ['a-2', 'a-3', 'b-1', 'b-2', 'c-1'];
    table.merge(
      ids.map(id => createInfo({id, zone: id.slice(0, 1)})),
      0,
    );
    const standbys = table.getStandbys(100).map(({id}) => id);
    expect(standbys).toEqual(['a-2', 'b-1', 'c-1']);
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
    expect(createZoneTable('a-2').shouldFollow(1_300)).toBe(true);
    expect(createZoneTable('a-4').shouldFollow(1_300)).toBe(false);
    expect(createZoneTable('a-4').shouldFollow(3_000)).toBe(true);
  });

  it('selects one follower of all regions, which reads the revision for the others', () => {
    const table = new MemberTable(() => createInfo({id: 'b', region: 'r2'}));
    expect(table.isFirstFollower(0)).toBe(true);
    table.merge([createInfo({id: 'a', isFollowing: true})], 0);
    expect(table.isFirstFollower(100)).toBe(false);
    expect(table.isFirstFollower(9_000)).toBe(true);
  });

  it('uses the mean of the reported open requests for instances without a recent report', () => {
    const table = createTable();
    table.merge([createInfo(), createInfo({id: 'c'})], 0);
    for (let heartbeat = 2; heartbeat <= 9; heartbeat++) {
      const now = 2_000 * (heartbeat - 1);
      table.mergeHeartbeats({c: heartbeat}, now);
      table.merge([createInfo({heartbeat, openRequests: {pages: 5}})], now);
    }
    // 2 of its own, 5 reported by b, and their mean for c, whose report is too old.
    expect(table.getOpenRequests('pages', 16_000)).toBe(10.5);
  });

  it('changes its version if the instances that are ranked change (guards against stale ranks)', () => {
    const table = createTable();
    const getVersion = (change: () => unknown) => {
      change();
      return table.version;
    };
    const first = getVersion(() => table.merge([createInfo()], 0));
    const addHeartbeat = () => table.mergeHeartbeats({b: 2}, 100);
    expect(getVersion(addHeartbeat)).toBe(first);
    const again = createInfo({version: 2, heartbeat: 3});
    expect(getVersion(() => table.merge([again], 200))).toBe(first);
    const joined = getVersion(() =>
      table.addRegistered([createInfo({id: 'c'})], 300),
    );
    expect(joined).not.toBe(first);
    const expired = getVersion(() => table.expire(100_000));
    expect(expired).not.toBe(joined);
  });

  it('divides limits by the known instances only after another one has sent its members or the wait has ended', () => {
    const table = createTable();
    expect(table.getLimitDivisor(0)).toBe(1);
    table.markMembershipUnknown(30_000);
    table.merge([createInfo()], 0);
    expect(table.getLimitDivisor(100)).toBe(Infinity);
    expect(table.getLimitDivisor(30_000)).toBe(2);
    table.markMembershipKnown();
    expect(table.getLimitDivisor(100)).toBe(2);
  });

  it("ranks the instances of an endpoint's region first, each with a unique rank", () => {
    const infos = Array.from({length: 30}, (_, i) =>
      createInfo({id: `i-${i}`, region: i < 10 ? 'near' : 'far'}),
    );
    const ranks = infos.map(self => {
      const table = new MemberTable(() => self);
      table.merge(infos, 0);
      return table.getRankFor(7, 'near');
    });
    const sorted = [...ranks].sort((a, b) => a - b);
    expect(sorted).toEqual(infos.map((_, i) => i));
    expect(ranks.slice(0, 10).every(rank => rank < 10)).toBe(true);
  });
});
