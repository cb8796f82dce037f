import {VirtualTimerService} from '@primrosestage/common';
import {MemoryStore} from '@primrosestage/control';
import {describe, expect, it} from 'vitest';

function createStore() {
  const timers = new VirtualTimerService();
  return {timers, store: new MemoryStore({timers})};
}

describe('MemoryStore', () => {
  it('rejects a write based on an outdated version (guards against lost updates)', async () => {
    const {store} = createStore();
    expect(await store.put('teams/a', {n: 1}, 0)).toBe(1);
    expect(await store.put('teams/a', {n: 2}, 0)).toBeUndefined();
    expect(await store.put('teams/a', {n: 3}, 1)).toBe(2);
    expect(await store.get('teams/a')).toMatchObject({value: {n: 3}});
  });

  it('returns a watch only on a write under its prefix (guards against missed and spurious wake-ups)', async () => {
    const {store, timers} = createStore();
    let entries: unknown;
    const watch = store.watch({prefix: 'teams/', after: 0, timeoutMs: 2_000});
    void watch.then(result => (entries = result.entries));
    await store.put('other/x', 1, 0);
    await timers.advanceAsync(100);
    expect(entries).toBeUndefined();
    await store.put('teams/a', 2, 0);
    await timers.advanceAsync(10);
    expect(entries).toEqual([{key: 'teams/a', value: 2, version: 2}]);
  });

  it('returns a watch at its timeout and reports deletions (guards against watches that never end)', async () => {
    const {store, timers} = createStore();
    const version = (await store.put('teams/a', 1, 0)) ?? 0;
    const idle = store.watch({prefix: 'teams/', after: 1, timeoutMs: 2_000});
    await timers.advanceAsync(2_000);
    expect(await idle).toEqual({entries: [], version: 1});
    await store.delete('teams/a', version);
    const deleted = store.watch({prefix: 'teams/', after: 1, timeoutMs: 2_000});
    expect((await deleted).entries[0]).toMatchObject({value: null});
    expect(await store.put('teams/a', 2, 0)).toBe(3);
  });

  it('gives a lease to another holder only after it expired (guards against two holders)', async () => {
    const {store, timers} = createStore();
    expect(await store.acquireLease('l', 'a', 1_000)).toBe(1);
    expect(await store.acquireLease('l', 'b', 1_000)).toBeUndefined();
    timers.advance(1_000);
    expect(await store.acquireLease('l', 'b', 1_000)).toBe(2);
  });
});
