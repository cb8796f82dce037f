import {
  CommitOutcome,
  type CommitResult,
  MAX_RECORDED_CHANGES,
} from '@primrosestage/control';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Fault} from '../../../control/test/support/faulty_store.js';
import {
  createDrainChange,
  TEAM,
} from '../../../control/test/support/fixtures.js';
import {Cluster} from './cluster.js';

const SEED = 461;
const RUNS = 100;

const FAULT = fc.oneof(
  {weight: 12, arbitrary: fc.constant(Fault.None)},
  {weight: 2, arbitrary: fc.constant(Fault.LostReply)},
  {weight: 2, arbitrary: fc.constant(Fault.DelayedWrite)},
  {weight: 2, arbitrary: fc.constant(Fault.LongDelayedWrite)},
  {weight: 1, arbitrary: fc.constant(Fault.Dropped)},
  {weight: 1, arbitrary: fc.constant(Fault.NotSent)},
);
const EVENT = fc.record({
  kind: fc.constantFrom(
    'change',
    'change',
    'change',
    'restart',
    'outage',
    'silence-watches',
    'partition',
  ),
  at: fc.nat(6),
  afterMs: fc.constantFrom(0, 20, 50, 200, 200, 1_000, 1_000, 7_000),
});

/** Simulates an operator, who retries a change under its identifier until the outcome is known. */
async function runOperator(cluster: Cluster, id: string, at: number) {
  const {ids} = cluster;
  const status = cluster.members.get(ids[at]!)!.task.getStatus(TEAM);
  const change = createDrainChange(id, status?.revision ?? 1, ids[at]);
  let wasUnknown = false;
  let result: CommitResult;
  for (let i = at; ; i++) {
    result = await cluster.commit(ids[i % ids.length]!, change);
    const isUndecided =
      result.outcome === CommitOutcome.Unknown ||
      (wasUnknown && result.outcome === CommitOutcome.NotApplied);
    if (!isUndecided) break;
    wasUnknown = true;
    await cluster.timers.sleep(500);
  }
  return {id, change, result};
}

describe('concurrent operators', () => {
  it('applies every accepted change exactly once and converges (guards against lost, duplicate and reverted changes)', async () => {
    const outcomes = new Map<CommitOutcome, number>();
    await fc.assert(
      fc.asyncProperty(
        fc.array(FAULT, {minLength: 40, maxLength: 80}),
        fc.array(EVENT, {minLength: 15, maxLength: 40}),
        async (faults, events) => {
          let calls = 0;
          let isHealed = false;
          const cluster = new Cluster(() =>
            isHealed ? Fault.None : faults[calls++ % faults.length]!,
          );
          cluster.startAll();
          await cluster.run(3_000);
          const results: Array<Awaited<ReturnType<typeof runOperator>>> = [];
          let operatorCount = 0;
          for (const {kind, at, afterMs} of events) {
            const member = cluster.members.get(cluster.ids[at]!)!;
            if (kind === 'change') {
              void runOperator(cluster, `c${operatorCount++}`, at).then(r =>
                results.push(r),
              );
            }
            if (kind === 'restart') cluster.start(member.id);
            if (kind === 'outage') cluster.setStoreDown(!member.store.isDown);
            if (kind === 'silence-watches') {
              member.store.areWatchesSilent = !member.store.areWatchesSilent;
            }
            if (kind === 'partition') {
              if (cluster.partitionedZones.size > 0) cluster.heal();
              else cluster.partition(['addis-a', 'hawassa-a'][at % 2]!);
            }
            await cluster.run(afterMs);
          }
          isHealed = true;
          cluster.heal();
          cluster.setStoreDown(false);
          for (const {store} of cluster.members.values())
            store.areWatchesSilent = false;
          for (let i = 0; i < 60 && results.length < operatorCount; i++)
            await cluster.run(1_000);
          expect(results).toHaveLength(operatorCount);
          await cluster.run(5_000);

          const document = await cluster.readDocument();
          expect(operatorCount).toBeLessThan(MAX_RECORDED_CHANGES);
          expect(document.revision).toBe(1 + document.changes.length);
          expect(document.changes.map(({revision}) => revision)).toEqual(
            document.changes.map((_, i) => i + 2),
          );
          for (const {id, change, result} of results) {
            outcomes.set(
              result.outcome,
              (outcomes.get(result.outcome) ?? 0) + 1,
            );
            const present = document.changes.filter(c => c.id === id);
            const isAccepted = result.outcome === CommitOutcome.Accepted;
            expect(present).toEqual(
              isAccepted ? [{id, revision: result.revision}] : [],
            );
            if (!isAccepted) continue;
            const repeat = cluster.commit('hawassa-b-1', change);
            await cluster.run(100);
            expect(await repeat).toMatchObject({
              outcome: CommitOutcome.Accepted,
              revision: result.revision,
            });
          }
          expect(new Set(cluster.getRevisions())).toEqual(
            new Set([document.revision]),
          );
          expect(cluster.revertCount).toBe(0);
          await cluster.dispose();
          expect(cluster.violationCount).toBe(0);
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
    // Without these checks the property would hold for a store that rejects every change.
    expect(outcomes.get(CommitOutcome.Accepted)).toBeGreaterThan(RUNS);
    expect(outcomes.get(CommitOutcome.Conflict)).toBeGreaterThan(0);
    expect(outcomes.get(CommitOutcome.NotApplied)).toBeGreaterThan(0);
  });
});
