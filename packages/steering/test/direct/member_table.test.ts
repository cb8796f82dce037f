import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {MemberTable} from '../../src/direct/index.js';
import {createInfo, createTable, getServingIds} from './create_members.js';

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
    const expired = getVersion(() => table.expire(601_000));
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
