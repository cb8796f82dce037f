import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  getColdRateLimit,
  type MemberInfo,
  MemberTable,
} from '../../src/direct/index.js';
import {createInfo} from './create_members.js';

const PER_SECOND = 15.8;
const STEP_MS = 100;
const ROUND_MS = 400;
const LATENCY_MS = 100;
const TIMEOUT_MS = 30_000;
/** Part of the messages between instances that are lost. */
const LOSS = 0.1;
const RUNS = {numRuns: 300, seed: 20261207};

/** Start of an instance, in steps, and its restart if it is killed. */
interface Schedule {
  startsAt: number;
  restartsAt?: number;
}

/** An instance that exchanges members with others. */
class Peer {
  table!: MemberTable;
  private info!: MemberInfo;
  private hasReply = false;

  constructor(
    readonly id: string,
    readonly schedule: Schedule,
  ) {}

  get isRunning(): boolean {
    return this.table !== undefined;
  }

  start(now: number): void {
    this.info = createInfo({id: this.id, bornAt: now + 1, heartbeat: now + 1});
    this.table = new MemberTable(() => this.info);
    this.table.markMembershipUnknown(now + TIMEOUT_MS);
    this.hasReply = false;
  }

  getShare(now: number): number {
    const instances = this.table.getLimitDivisor(now);
    const getRank = () => this.table.getRankFor(7, undefined);
    return getColdRateLimit({perSecond: PER_SECOND}, {instances, getRank});
  }

  /** Pulls members until it has received some, then sends what it knows, as gossip does. */
  runRound(peers: readonly Peer[], now: number, random: () => number): void {
    this.info = {...this.info, heartbeat: this.info.heartbeat + 1};
    const others = peers.filter(peer => peer !== this && peer.isRunning);
    const target = others[Math.floor(random() * others.length)];
    if (!target) return;
    if (!this.hasReply) this.pull(target, now);
    for (const other of this.table.getLive(now)) {
      const peer = others.find(({id}) => id === other.id);
      if (peer && random() >= LOSS) {
        peer.table.merge(this.table.getLive(now), now + LATENCY_MS);
      }
    }
  }

  private pull(target: Peer, now: number): void {
    target.table.merge([this.info], now);
    const reply = target.table.createMembershipReply(this.id, now);
    this.table.merge(target.table.getLive(now), now);
    this.table.recordMembersReceived(reply, now);
    this.hasReply = true;
  }
}

/** Plays starts and restarts; returns the highest sum of the shares of all instances. */
function playStarts(schedules: readonly Schedule[], seed: number): number {
  let state = seed;
  const random = () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
  const peers = schedules.map((each, i) => new Peer(`instance-${i}`, each));
  let most = 0;
  for (let step = 0; step < 150; step++) {
    const now = step * STEP_MS;
    for (const peer of peers) {
      const {startsAt, restartsAt} = peer.schedule;
      if (step === startsAt || step === restartsAt) peer.start(now);
      const isDue = (step - startsAt) % (ROUND_MS / STEP_MS) === 0;
      if (peer.isRunning && isDue) peer.runRound(peers, now, random);
    }
    const running = peers.filter(({isRunning}) => isRunning);
    const sum = running.reduce((all, peer) => all + peer.getShare(now), 0);
    most = Math.max(most, sum);
  }
  return most;
}

describe('shares of instances that start', () => {
  it.each([
    ['at once', fc.constant(0)],
    ['one after the other', fc.nat(80)],
  ])(
    'guards against shares above the limit of instances that start %s and know few',
    (_, startsAt) => {
      fc.assert(
        fc.property(
          fc.array(fc.record({startsAt}), {minLength: 2, maxLength: 20}),
          fc.nat(),
          (schedules, seed) => {
            const most = playStarts(schedules, seed);
            expect(most).toBeLessThanOrEqual(PER_SECOND);
            expect(most).toBeGreaterThan(0);
          },
        ),
        RUNS,
      );
    },
  );

  it('guards against shares above the limit of instances that are killed and start again', () => {
    const restartsAt = fc.option(fc.integer({min: 40, max: 120}), {
      nil: undefined,
    });
    fc.assert(
      fc.property(
        fc.array(fc.record({startsAt: fc.constant(0), restartsAt}), {
          minLength: 2,
          maxLength: 20,
        }),
        fc.nat(),
        (schedules, seed) => {
          expect(playStarts(schedules, seed)).toBeLessThanOrEqual(PER_SECOND);
        },
      ),
      RUNS,
    );
  });
});

describe('MemberTable.recordMembersReceived', () => {
  const createStarted = () => {
    const table = new MemberTable(() => createInfo({id: 'a', bornAt: 9_000}));
    table.markMembershipUnknown(30_000);
    return table;
  };

  it('ends the wait at once if another instance has counted this one for long', () => {
    const table = createStarted();
    table.merge([createInfo()], 0);
    table.recordMembersReceived({countedMs: 2_500, isComplete: true}, 0);
    expect(table.getLimitDivisor(0)).toBe(2);
  });

  it('waits until others have heard of this instance, and again if another one joins', () => {
    const table = createStarted();
    table.merge([createInfo()], 0);
    table.recordMembersReceived({countedMs: 500, isComplete: false}, 1_000);
    expect(table.getLimitDivisor(2_999)).toBe(Infinity);
    table.merge([createInfo({id: 'c'})], 2_900);
    expect(table.getLimitDivisor(5_399)).toBe(Infinity);
    expect(table.getLimitDivisor(5_400)).toBe(3);
  });

  it('waits for a second if an earlier process of this instance is registered with the others', () => {
    const table = createStarted();
    const registered = ['a', 'b', 'c'].map(id => createInfo({id}));
    table.addRegistered(registered, 0);
    expect(table.getLimitDivisor(999)).toBe(Infinity);
    expect(table.getLimitDivisor(1_000)).toBe(3);
  });

  it('guards against a share that others do not count because they have forgotten this instance', () => {
    const table = createStarted();
    table.addRegistered([createInfo({id: 'a'}), createInfo()], 0);
    table.recordMembersReceived({countedMs: 100, isComplete: true}, 600);
    expect(table.getLimitDivisor(2_999)).toBe(Infinity);
    expect(table.getLimitDivisor(3_000)).toBe(2);
  });

  it('counts a registered instance for as long as one that may be cut off', () => {
    const table = createStarted();
    table.addRegistered([createInfo()], 0);
    table.expire(500_000);
    expect(table.getCount()).toBe(2);
    table.expire(601_000);
    expect(table.getCount()).toBe(1);
  });
});
