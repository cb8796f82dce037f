import {CommitOutcome, createInitialDocument} from '@primrosestage/control';
import {afterEach, describe, expect, it} from 'vitest';
import {
  createDrainChange,
  SYSTEM,
  TEAM,
} from '../../../control/test/support/fixtures.js';
import {Cluster} from './cluster.js';

let cluster: Cluster;

/** Starts the 7 instances and waits until the first document is in force everywhere. */
async function startCluster(): Promise<void> {
  cluster = new Cluster();
  cluster.startAll();
  await cluster.run(3_000);
  expect(cluster.getRevisions()).toEqual([1, 1, 1, 1, 1, 1, 1]);
}

/** Makes a change at an instance and returns the time until it is in force everywhere. */
async function measurePropagationMs(
  at: string,
  among = cluster.ids,
): Promise<number> {
  const revision = (await cluster.readDocument()).revision + 1;
  const startMs = cluster.timers.now();
  const commit = cluster.commit(
    at,
    createDrainChange(`r${revision}`, revision - 1),
  );
  for (let i = 0; i < 400; i++) {
    const isEverywhere = among.every(
      id =>
        cluster.members.get(id)!.task.getStatus(TEAM)?.revision === revision,
    );
    if (isEverywhere) break;
    await cluster.timers.advanceAsync(20);
  }
  expect(await commit).toMatchObject({outcome: CommitOutcome.Accepted});
  return cluster.timers.now() - startMs;
}

afterEach(async () => {
  await cluster.dispose();
  expect(cluster.violationCount).toBe(0);
});

describe('ConfigurationTask', () => {
  it('creates the first document once and propagates a change within a second (guards against slow watches)', async () => {
    await startCluster();
    expect(await measurePropagationMs('addis-a-1')).toBeLessThan(1_000);
    const {task} = cluster.members.get('hawassa-b-1')!;
    expect(task.getDrains()).toHaveLength(1);
    expect(task.getPreset(TEAM)).toMatchObject({shiftCap: 0.1});
    expect(task.getStatus(TEAM)).toMatchObject({revision: 2, active: 'day'});
  });

  it('reopens unresponsive watches after 3 s (guards against watches that hang on a dead connection)', async () => {
    await startCluster();
    for (const {store} of cluster.members.values())
      store.areWatchesSilent = true;
    await cluster.run(2_500);
    for (const member of cluster.members.values()) {
      member.store.areWatchesSilent = false;
      member.store.calls.watch = 0;
    }
    await cluster.run(3_000);
    for (const {store} of cluster.members.values()) {
      expect(store.calls.watch).toBeGreaterThan(0);
    }
  });

  it('converges through peers while all watches are unresponsive (guards against a dependency on the store)', async () => {
    await startCluster();
    for (const {store} of cluster.members.values())
      store.areWatchesSilent = true;
    await cluster.run(2_500);
    expect(await measurePropagationMs('addis-a-1')).toBeLessThan(5_000);
  });

  it('pushes through the second watcher if the first one does not see a change (guards against one unresponsive watch)', async () => {
    await startCluster();
    for (const id of ['addis-a-1', 'addis-a-2']) {
      const {store} = cluster.members.get(id)!;
      store.areWatchesSilent = true;
      await cluster.run(2_100);
      // A recent digest suppresses random pulls, so only a push can propagate the change.
      for (const {task} of cluster.members.values()) {
        task.handleDigest('peer', task.getDigest());
      }
      expect(
        await measurePropagationMs('hawassa-a-1', ['addis-a-1', 'addis-a-2']),
      ).toBeLessThan(1_000);
      store.areWatchesSilent = false;
      await cluster.run(3_100);
    }
  });

  it('loads from a peer while the store is down (guards against a store outage that prevents restarts)', async () => {
    await startCluster();
    cluster.setStoreDown(true);
    const member = cluster.start('addis-b-1');
    member.store.isDown = true;
    await cluster.timers.advanceAsync(20);
    expect(member.task.isReady()).toBe(false);
    await cluster.run(1_000);
    expect(member.task.isReady()).toBe(true);
    const refused = cluster.commit('addis-b-1', createDrainChange('c', 1));
    await cluster.run(2_000);
    expect(await refused).toMatchObject({outcome: CommitOutcome.NotApplied});
  });

  it('is not ready without the store and peers (guards against serving without configuration)', async () => {
    cluster = new Cluster();
    const member = cluster.start('addis-a-1');
    member.store.isDown = true;
    await cluster.run(5_000);
    expect(member.task.isReady()).toBe(false);
    member.store.isDown = false;
    await cluster.run(1_000);
    expect(member.task.isReady()).toBe(true);
  });

  it('keeps the last valid document (guards against an invalid document in the store)', async () => {
    await startCluster();
    const entry = (await cluster.backingStore.get(`teams/${TEAM}`))!;
    const broken = {
      ...createInitialDocument(SYSTEM.teams[0]!),
      revision: 9,
      active: 'none',
    };
    const version = await cluster.backingStore.put(
      entry.key,
      broken,
      entry.version,
    );
    await cluster.backingStore.delete(entry.key, version!);
    await cluster.run(2_000);
    expect(new Set(cluster.getRevisions())).toEqual(new Set([1]));
  });

  it('pulls on a digest mismatch, at most once within half a second (guards against pull storms)', async () => {
    await startCluster();
    const {task} = cluster.members.get('addis-a-1')!;
    task.handleDigest('addis-b-1', task.getDigest());
    await cluster.run(2_000);
    const before = cluster.peerCalls.pull;
    for (let i = 0; i < 5; i++) task.handleDigest('addis-b-1', 'other');
    expect(cluster.peerCalls.pull).toBe(before + 1);
  });

  it('makes W/2 watches per second when idle and W + 2 calls per change, for W = 7 watchers in 6 zones (guards against load that grows with the number of instances)', async () => {
    await startCluster();
    const count = () => {
      const sum = {get: 0, put: 0, watch: 0};
      for (const {store} of cluster.members.values()) {
        for (const name of ['get', 'put', 'watch'] as const) {
          sum[name] += store.calls[name];
        }
      }
      return sum;
    };
    const start = count();
    await cluster.run(60_000);
    const idle = count();
    expect(idle).toMatchObject({get: start.get, put: start.put});
    expect((idle.watch - start.watch) / 60).toBeLessThanOrEqual(7 / 2);
    expect((idle.watch - start.watch) / 60).toBeGreaterThan(3.4);
    for (let i = 0; i < 10; i++) {
      await measurePropagationMs(cluster.ids[i % 7]!);
      await cluster.run(1_000);
    }
    const changed = count();
    expect(changed.get - idle.get).toBe(10);
    expect(changed.put - idle.put).toBe(10);
    expect(changed.watch - idle.watch).toBe(70);
  });
});
