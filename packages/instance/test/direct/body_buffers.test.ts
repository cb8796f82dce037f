import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  BodyBuffers,
  type BodyReservation,
} from '../../src/direct/listen/body_buffers.js';

const LIMITS = {maxBytes: 1_000_000, reservedBytes: 200_000};
const SMALL_BYTES = 60_000;

describe('BodyBuffers', () => {
  it('refuses a body that does not fit beside others, until they are released', () => {
    const buffers = new BodyBuffers(LIMITS);
    const first = buffers.open();
    const second = buffers.open();
    expect(first.growTo(500_000)).toBe(true);
    expect(second.growTo(400_000)).toBe(false);
    first[Symbol.dispose]();
    expect(second.growTo(400_000)).toBe(true);
    expect(buffers.usedBytes).toBe(400_000);
  });

  it('guards against large bodies that leave no memory for small ones', () => {
    const buffers = new BodyBuffers(LIMITS);
    const large = buffers.open();
    expect(large.growTo(800_000)).toBe(true);
    expect(large.growTo(800_001)).toBe(false);
    for (let i = 0; i < 3; i++) {
      expect(buffers.open().growTo(SMALL_BYTES)).toBe(true);
    }
    expect(buffers.open().growTo(SMALL_BYTES)).toBe(false);
  });

  it('guards against bytes that are counted twice or never released', () => {
    const command = fc.record({
      index: fc.nat(5),
      bytes: fc.option(fc.nat(600_000), {nil: undefined}),
    });
    fc.assert(
      fc.property(fc.array(command, {maxLength: 60}), commands => {
        const buffers = new BodyBuffers(LIMITS);
        const open = new Map<number, BodyReservation>();
        const sizes = new Map<number, number>();
        for (const {index, bytes} of commands) {
          const reservation = open.get(index) ?? buffers.open();
          open.set(index, reservation);
          if (bytes === undefined) {
            reservation[Symbol.dispose]();
            sizes.delete(index);
          } else if (reservation.growTo(bytes)) {
            sizes.set(index, Math.max(bytes, sizes.get(index) ?? 0));
          }
          const sum = [...sizes.values()].reduce((a, b) => a + b, 0);
          expect(buffers.usedBytes).toBe(sum);
          expect(sum).toBeLessThanOrEqual(LIMITS.maxBytes);
        }
        for (const reservation of open.values()) reservation[Symbol.dispose]();
        expect(buffers.usedBytes).toBe(0);
      }),
      {seed: 20_261_206, numRuns: 300},
    );
  });
});
