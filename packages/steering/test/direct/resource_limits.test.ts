import {describe, expect, it} from 'vitest';
import {
  CloseReason,
  ConnectionLedger,
  mayAdmitRequest,
  planResources,
  selectBusiest,
  selectUnread,
} from '../../src/direct/index.js';

const MIB = 1024 * 1024;
const HEAP_BYTES = 160 * MIB;

function plan(memoryMb: number, maxDescriptors: number) {
  const machine = {memoryBytes: memoryMb * MIB, maxDescriptors};
  return planResources(machine, HEAP_BYTES);
}

describe('planResources', () => {
  it.each([
    [202, 2_069],
    [350, 4_100],
    [350, 12_300],
    [870, 2_069],
    [870, 12_300],
  ])(
    'guards against limits beyond %d MB and %d descriptors',
    (memoryMb, maxDescriptors) => {
      const limits = plan(memoryMb, maxDescriptors);
      const auxiliary =
        limits.maxDirectoryConnections +
        limits.maxControlConnections +
        limits.maxAuxiliaryConnections * 2;
      const heldBytes =
        limits.maxBodyBytes +
        limits.maxResponseBytes +
        limits.maxCallerConnections * 33 * 1024 +
        auxiliary * 15 * 1024 +
        limits.maxOpenRequests * 30 * 1024 +
        limits.maxRefusedRequests * 6 * 1024 +
        limits.maxPausedConnections * 256 * 1024;
      expect(heldBytes + 45 * MIB).toBeLessThan(memoryMb * MIB);
      const sockets =
        limits.maxCallerConnections + auxiliary + limits.maxEndpointConnections;
      expect(sockets).toBeLessThan(maxDescriptors - 200);
      expect(limits.maxOpenRequests).toBeLessThan(
        limits.maxEndpointConnections,
      );
      // Callers within the configured limits: 250 with three connections each, a body of 64 MiB.
      expect(limits.maxCallerConnections).toBeGreaterThan(750);
      expect(
        limits.maxBodyBytes - limits.reservedBodyBytes,
      ).toBeGreaterThanOrEqual(64 * MIB);
    },
  );

  it('keeps the memory for bodies from 350 MB on, and without a machine', () => {
    const expected = {
      maxBodyBytes: 128 * MIB,
      reservedBodyBytes: 16 * MIB,
    };
    expect(plan(350, 4_100)).toMatchObject(expected);
    expect(plan(870, 4_100)).toMatchObject(expected);
    expect(planResources(undefined, HEAP_BYTES)).toMatchObject({
      ...expected,
      maxCallerConnections: Infinity,
      maxOpenRequests: Infinity,
      maxPipelinedRequests: Infinity,
      maxResponseBytes: Infinity,
    });
  });
});

describe('mayAdmitRequest', () => {
  /** Lets connections start as many requests as they may, and returns the number of each. */
  const fill = (connections: number, maxRequests: number) => {
    const counts = new Array<number>(connections).fill(0);
    let total = 0;
    for (let round = 0; round < maxRequests; round++) {
      counts.forEach((onConnection, i) => {
        if (!mayAdmitRequest({onConnection, total}, maxRequests)) return;
        counts[i] = onConnection + 1;
        total++;
      });
    }
    return {counts, total};
  };

  it.each([1, 3, 20, 400])(
    'guards against refusing a first request because of %d busy connections',
    connections => {
      const {counts, total} = fill(connections, 411);
      expect(total).toBeLessThanOrEqual(411);
      if (connections < 400) {
        expect(mayAdmitRequest({onConnection: 0, total}, 411)).toBe(true);
      }
      // All get about the same part.
      expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
      expect(Math.min(...counts)).toBeGreaterThanOrEqual(1);
    },
  );

  it('refuses every request at the limit', () => {
    expect(mayAdmitRequest({onConnection: 0, total: 411}, 411)).toBe(false);
    expect(mayAdmitRequest({onConnection: 9, total: 5}, Infinity)).toBe(true);
  });
});

describe('ConnectionLedger', () => {
  it('selects the longest idle connection before active ones', () => {
    const ledger = new ConnectionLedger<string>();
    for (const name of ['a', 'b', 'c']) ledger.add(name, '10.0.0.1');
    ledger.markActive('a');
    ledger.markActive('b');
    ledger.markIdle('a');
    const select = () => {
      const victim = ledger.selectVictim();
      if (victim) ledger.remove(victim.connection);
      return victim;
    };
    expect(select()).toEqual({connection: 'c', reason: CloseReason.Idle});
    expect(select()).toEqual({connection: 'a', reason: CloseReason.Idle});
    expect(select()).toEqual({connection: 'b', reason: CloseReason.Address});
    expect(select()).toBeUndefined();
  });

  it('guards against closing an active connection of an address with few', () => {
    const ledger = new ConnectionLedger<string>();
    ledger.add('a', '10.0.0.1');
    ledger.add('b', '10.0.0.2');
    ledger.add('c', '10.0.0.2');
    for (const name of ['a', 'b', 'c']) ledger.markActive(name);
    expect(ledger.selectVictim()?.connection).toBe('b');
  });
});

describe('selection of a connection to close', () => {
  const load = (requests: number, unreadBytes = 0, progressAt = 0) => ({
    requests,
    unreadBytes,
    progressAt,
  });

  it('selects the connection with most requests, but none with a single one', () => {
    const busy = load(3);
    expect(selectBusiest([load(1), busy, load(2)])).toBe(busy);
    expect(selectBusiest([load(1), load(1)])).toBeUndefined();
  });

  it('selects stalled callers first, and others only if they may be closed', () => {
    const stalled = load(1, 10, 4_000);
    const slow = load(1, 50, 4_900);
    expect(selectUnread([slow, stalled], 5_000, true)).toBe(stalled);
    expect(selectUnread([slow, load(1)], 5_000, true)).toBe(slow);
    expect(selectUnread([slow], 5_000, false)).toBeUndefined();
  });
});
