import {VirtualTimerService} from '@primrosestage/common';
import {
  ChangeCommitter,
  CommitOutcome,
  type CommitResult,
  MemoryStore,
  type TeamDocument,
} from '@primrosestage/control';
import {describe, expect, it} from 'vitest';
import {Fault, FaultyStore} from '../support/faulty_store.js';
import {
  createDocument,
  createDrainChange,
  TEAM,
  TOPOLOGY,
} from '../support/fixtures.js';

const KEY = `teams/${TEAM}`;

/** Creates a committer on a store that injects the given faults in order, then none. */
async function setUp(faults: Fault[]) {
  const timers = new VirtualTimerService();
  const inner = new MemoryStore({timers});
  await inner.put(KEY, createDocument(), 0);
  const store = new FaultyStore({
    timers,
    inner,
    decide: () => faults.shift() ?? Fault.None,
  });
  const committer = new ChangeCommitter({store, timers, topology: TOPOLOGY});
  const commit = async (id: string, basedOn = 1): Promise<CommitResult> => {
    let result: CommitResult | undefined;
    void committer
      .commit(TEAM, createDrainChange(id, basedOn))
      .then(r => (result = r));
    for (let i = 0; i < 100 && !result; i++) await timers.advanceAsync(100);
    return result!;
  };
  const read = async () => (await inner.get(KEY))!.value as TeamDocument;
  return {timers, inner, store, commit, read};
}

describe('ChangeCommitter', () => {
  it('accepts a write whose reply was lost (guards against a change reported as failed but in force)', async () => {
    const {commit, read} = await setUp([Fault.None, Fault.LostReply]);
    expect(await commit('c1')).toMatchObject({
      outcome: CommitOutcome.Accepted,
      revision: 2,
    });
    expect((await read()).changes).toEqual([{id: 'c1', revision: 2}]);
  });

  it('accepts a write that takes effect late (guards against reporting a change as failed that takes effect later)', async () => {
    const {commit} = await setUp([Fault.None, Fault.DelayedWrite]);
    expect(await commit('c1')).toMatchObject({
      outcome: CommitOutcome.Accepted,
    });
  });

  it('fences a write that never arrived (guards against a rejected change that takes effect later)', async () => {
    const {commit, read, inner, timers} = await setUp([
      Fault.None,
      Fault.Dropped,
    ]);
    const before = await inner.get(KEY);
    expect(await commit('c1')).toMatchObject({
      outcome: CommitOutcome.NotApplied,
    });
    expect((await inner.get(KEY))!.version).toBeGreaterThan(before!.version);
    const late = await inner.put(KEY, {}, before!.version);
    await timers.advanceAsync(100);
    expect(late).toBeUndefined();
    expect(await read()).toMatchObject({revision: 1, changes: []});
  });

  it('reports an unknown outcome while the store is unreachable, and the first result on a retry (guards against a false rejection)', async () => {
    const {commit, store} = await setUp([Fault.None, Fault.LostReply]);
    const restore = takeDownAfterWrite(store);
    expect(await commit('c1')).toMatchObject({outcome: CommitOutcome.Unknown});
    restore();
    expect(await commit('c1')).toMatchObject({
      outcome: CommitOutcome.Accepted,
      revision: 2,
    });
  });

  it('rejects changes while the store is down (guards against an unknown outcome of a write that was never sent)', async () => {
    const {commit, store} = await setUp([]);
    store.isDown = true;
    expect(await commit('c1')).toMatchObject({
      outcome: CommitOutcome.NotApplied,
    });
  });

  it('returns the current revision to the loser of a race (guards against lost updates)', async () => {
    const {commit} = await setUp([]);
    const results = await Promise.all([commit('c1'), commit('c2')]);
    expect(results.map(({outcome}) => outcome).sort()).toEqual([
      CommitOutcome.Accepted,
      CommitOutcome.Conflict,
    ]);
    expect(results.map(({revision}) => revision)).toEqual([2, 2]);
  });
});

/** Takes the store down as soon as a write to it has failed. */
function takeDownAfterWrite(store: FaultyStore): () => void {
  const put = store.put.bind(store);
  store.put = async (...args) => {
    const result = put(...args);
    void result.catch(() => (store.isDown = true));
    return result;
  };
  return () => (store.isDown = false);
}
