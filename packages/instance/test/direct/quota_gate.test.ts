import {
  AccountTable,
  type ClientAccount,
  type QuotaTolerance,
} from '@primrosestage/steering';
import {describe, expect, it} from 'vitest';
import {SimClock} from '../../../testing/src/bench/policy/sim_clock.js';
import {
  decodeDatagram,
  encodeDatagram,
} from '../../src/direct/control/gossip_message.js';
import {QuotaGate} from '../../src/direct/limits/quota_gate.js';
import {
  type QuotaMessage,
  QuotaMessageType,
  type QuotaRequestMessage,
} from '../../src/direct/limits/quota_message.js';

const ACCOUNT: ClientAccount = {
  name: 'mill',
  keys: ['key-1'],
  ratePerSecond: 20,
  burst: 0,
  homeRegions: [],
};
const TOLERANCE: QuotaTolerance = {windowMs: 5_000, overshoot: 0.1, slack: 20};

/** Creates the gate of an instance whose coordinator is another one. */
function createGate(
  tolerance: QuotaTolerance | undefined,
  account: ClientAccount = ACCOUNT,
) {
  const clock = new SimClock();
  const sent: QuotaRequestMessage[] = [];
  const counts: Record<string, number> = {};
  const gate = new QuotaGate({
    id: 'a',
    gossipAddress: 'a',
    view: {accounts: new AccountTable([account])},
    members: {
      version: 0,
      getServing: () => [{id: 'b', gossipAddress: 'b'} as never],
      getLimitDivisor: () => 2,
      getRankFor: () => 0,
    },
    getTolerance: () => tolerance,
    timers: clock,
    logger: {info: () => {}, warn: () => {}, error: () => {}},
    metrics: {
      quotas: {
        inc: ({result}: {result: string}) =>
          (counts[result] = (counts[result] ?? 0) + 1),
      },
    } as never,
    random: () => 0.5,
    send: message => sent.push(message as QuotaRequestMessage),
  });
  const reply = (granted: number, retryAfterMs: number): QuotaMessage => {
    const {group, number} = sent.at(-1) as QuotaRequestMessage;
    const accounts = [[ACCOUNT.name, granted, retryAfterMs, 0]] as const;
    return {
      type: QuotaMessageType.Reply,
      group,
      from: 'b',
      process: 7,
      number: sent.length,
      request: number,
      accounts,
    };
  };
  return {clock, sent, counts, gate, reply};
}

describe('QuotaGate', () => {
  it('guards against datagrams and decisions where quotas are not enforced', () => {
    const off = createGate(undefined);
    const unlimited = createGate(TOLERANCE, {...ACCOUNT, ratePerSecond: 0});
    expect(off.gate.acquire(ACCOUNT)).toBeUndefined();
    const freeAccount = {...ACCOUNT, ratePerSecond: 0};
    expect(unlimited.gate.acquire(freeAccount)).toBeUndefined();
    for (const {gate, sent} of [off, unlimited]) {
      gate.sweep();
      expect(gate.acquire(undefined)).toBeUndefined();
      expect(sent).toEqual([]);
    }
  });

  it('guards against a wait that goes on after its caller has left', async () => {
    const {gate, counts, reply} = createGate(TOLERANCE);
    const pending = gate.acquire(ACCOUNT);
    if (!pending || !('outcome' in pending)) throw new TypeError('no wait');
    pending.cancel();
    expect((await pending.outcome).isGranted).toBe(false);
    gate.receive(reply(1, 0));
    expect(counts).toEqual({waited: 1});
  });

  it('guards against a request that waits without end or states no time', async () => {
    const {gate, clock, reply} = createGate(TOLERANCE);
    const unanswered = gate.acquire(ACCOUNT);
    clock.runUntil(300);
    const denied = gate.acquire(ACCOUNT);
    gate.receive(reply(0, 70));
    const again = gate.acquire(ACCOUNT);
    const expected = [
      [unanswered, 300],
      [denied, 70],
      [again, 70],
    ] as const;
    for (const [result, retryAfterMs] of expected) {
      if (!result) throw new TypeError('no result');
      const outcome = 'outcome' in result ? await result.outcome : result;
      expect(outcome).toMatchObject({isGranted: false, retryAfterMs});
    }
  });

  it('guards against credit of a coordinator that has restarted', () => {
    const {gate, reply, clock} = createGate(TOLERANCE);
    void gate.acquire(ACCOUNT);
    gate.receive(reply(5, 0));
    clock.runUntil(10);
    gate.sweep();
    gate.receive({...reply(0, 70), process: 8} as QuotaMessage);
    const result = gate.acquire(ACCOUNT);
    expect(result).toMatchObject({isGranted: false});
  });

  it('guards against datagrams with a wrong outline', () => {
    const {gate, sent} = createGate(TOLERANCE);
    void gate.acquire(ACCOUNT);
    const message = sent[0] as QuotaRequestMessage;
    expect(decodeDatagram(encodeDatagram(message))).toEqual(message);
    for (const accounts of [undefined, [['mill', 1]], [['mill', -1, 0, 0]]]) {
      const malformed = {...message, accounts} as never;
      expect(decodeDatagram(encodeDatagram(malformed))).toBeUndefined();
    }
  });
});
