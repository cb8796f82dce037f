import {describe, expect, it} from 'vitest';
import {MemberDissemination, MemberTable} from '../../src/direct/index.js';
import {createInfo, createTable, getServingIds} from './create_members.js';

function disseminate(table: MemberTable): MemberDissemination {
  return new MemberDissemination(table);
}

describe('MemberDissemination', () => {
  it('applies heartbeats only to the process whose announcement is known', () => {
    const table = createTable();
    table.merge([createInfo()], 0);
    table.mergeHeartbeats({b: 2, unknown: 9}, 2_000);
    expect(getServingIds(table, 4_900)).toEqual(['a', 'b']);
    expect(disseminate(table).selectHeartbeats(9, 4_900)).toEqual({b: 2});
    // A restarted process starts far above the last heartbeat.
    table.mergeHeartbeats({b: 90_000}, 4_900);
    expect(getServingIds(table, 5_100)).toEqual(['a']);
  });

  it('has the same digest for the same announcements regardless of heartbeats', () => {
    const one = createTable();
    const other = createTable();
    one.merge([createInfo(), createInfo({id: 'c'})], 0);
    other.merge([createInfo({id: 'c', heartbeat: 9}), createInfo()], 0);
    expect(disseminate(one).getDigest(100)).toBe(
      disseminate(other).getDigest(100),
    );
    other.merge([createInfo({isServing: false, version: 2})], 0);
    expect(disseminate(one).getDigest(100)).not.toBe(
      disseminate(other).getDigest(100),
    );
  });

  it('returns recently changed announcements', () => {
    const table = createTable();
    table.merge([createInfo(), createInfo({id: 'c'})], 0);
    table.merge([createInfo({isServing: false, version: 2})], 2_000);
    expect(
      disseminate(table)
        .getRecentChanges(9, 2_100)
        .map(({id}) => id),
    ).toEqual(['b']);
    expect(disseminate(table).getRecentChanges(9, 9_000)).toEqual([]);
  });

  it('guards against more changed announcements than a datagram can hold', () => {
    const table = createTable();
    const ids = Array.from({length: 300}, (_, i) => `i-${i}`);
    table.merge(
      ids.map(id => createInfo({id})),
      0,
    );
    table.merge([createInfo({id: 'i-7', isServing: false, version: 2})], 100);
    const changed = disseminate(table).getRecentChanges(12, 200);
    expect(changed).toHaveLength(12);
    expect(changed[0]?.id).toBe('i-7');
  });

  it('guards against a restart that is ignored because the wall clock was set back', () => {
    let bornAt = 500;
    const restarted = new MemberTable(() => createInfo({bornAt}));
    const other = createTable();
    other.merge([createInfo({bornAt: 2_000, heartbeat: 2_050})], 0);
    const later = disseminate(other).getLaterProcess(createInfo({bornAt}));
    restarted.merge(later ? [later] : [], 10_000);
    bornAt = Math.max(bornAt, restarted.minOwnBornAt);
    other.merge([createInfo({bornAt, heartbeat: bornAt})], 10_000);
    expect(getServingIds(other, 10_100)).toEqual(['a', 'b']);
    expect(
      disseminate(other).getLaterProcess(createInfo({bornAt})),
    ).toBeUndefined();
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
      const ids = Object.keys(disseminate(table).selectHeartbeats(64, 100));
      expect(ids).toHaveLength(64);
      for (const id of ids) forwarded.add(id);
    }
    expect(forwarded.size).toBe(300);
  });
});
