import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {pickRandom, splitBroadcast} from '../../src/direct/index.js';

/** Returns how often each member after the sender gets a message, and the number of hops. */
function simulateBroadcast(reach: number): {
  deliveries: number[];
  hops: number;
} {
  const deliveries = new Array<number>(reach + 1).fill(0);
  let hops = 0;
  let senders = [{at: 0, reach}];
  while (senders.length > 0) {
    const receivers = senders.flatMap(sender =>
      splitBroadcast(sender.reach).map(branch => ({
        at: sender.at + branch.offset,
        reach: branch.reach,
      })),
    );
    for (const {at} of receivers) deliveries[at] = (deliveries[at] ?? 0) + 1;
    if (receivers.length > 0) hops++;
    senders = receivers;
  }
  return {deliveries: deliveries.slice(1), hops};
}

describe('splitBroadcast', () => {
  it('reaches every member once in a logarithmic number of hops and messages', () => {
    fc.assert(
      fc.property(fc.integer({min: 0, max: 4_400}), reach => {
        const {deliveries, hops} = simulateBroadcast(reach);
        expect(deliveries.every(count => count === 1)).toBe(true);
        const limit = Math.ceil(Math.log2(reach + 1));
        expect(hops).toBeLessThanOrEqual(limit);
        expect(splitBroadcast(reach).length).toBeLessThanOrEqual(limit);
      }),
      {numRuns: 300, seed: 20261204},
    );
  });
});

describe('pickRandom', () => {
  it('draws distinct items, at most as many as there are', () => {
    const random = () => 0.99;
    expect(pickRandom(['a', 'b', 'c'], 2, random)).toEqual(['c', 'b']);
    expect(pickRandom(['a'], 3, random)).toEqual(['a']);
    expect(pickRandom([], 2, random)).toEqual([]);
  });
});
