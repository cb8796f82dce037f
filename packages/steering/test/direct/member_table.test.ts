import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type MemberInfo, MemberTable} from '../../src/direct/index.js';

function createInfo(changes: Partial<MemberInfo> = {}): MemberInfo {
  return {
    id: 'b',
    zone: 'z',
    region: 'r',
    controlAddress: '127.0.0.1:1',
    callerAddress: '127.0.0.1:2',
    bornAt: 1,
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
  it('names an instance until its heartbeats have been missing for a while', () => {
    const table = createTable();
    table.merge([createInfo()], 0);
    expect(getServingIds(table, 2_900)).toEqual(['a', 'b']);
    expect(getServingIds(table, 3_100)).toEqual(['a']);
  });

  it('does not take a repeated heartbeat for a sign of life', () => {
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

  it('counts silent instances for divided bounds before it forgets them', () => {
    const table = createTable();
    table.merge([createInfo()], 0);
    table.expire(20_000);
    expect(table.getCount()).toBe(2);
    table.expire(31_000);
    expect(table.getCount()).toBe(1);
  });

  it('lets the first of a region follow, and the next when it falls silent', () => {
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

  it('adds up the open requests of live instances', () => {
    const table = createTable();
    table.merge([createInfo()], 0);
    expect(table.getOpenRequests('pages', 100)).toBe(4);
    expect(table.getOpenRequests('pages', 10_000)).toBe(2);
    expect(table.getOpenRequests('other', 100)).toBe(0);
  });

  it('does not name an instance that is only registered', () => {
    const table = createTable();
    table.learn([createInfo()], 0);
    expect(getServingIds(table, 1)).toEqual(['a']);
    expect(table.getCount()).toBe(2);
  });
});
