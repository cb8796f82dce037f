import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {DiscardedBuffers} from '../../src/direct/discarded_buffers.js';
import {BodyParts} from '../../src/direct/listen/body_parts.js';
import {
  BodySegments,
  SEGMENT_BYTES,
} from '../../src/direct/listen/body_segments.js';

describe('BodyParts', () => {
  it('guards against a body that differs from its chunks, in used and fresh buffers', () => {
    const sizes = fc.array(fc.integer({min: 0, max: 3 * SEGMENT_BYTES}), {
      maxLength: 8,
    });
    fc.assert(
      fc.property(fc.array(sizes, {maxLength: 4}), bodies => {
        const pool = new BodySegments();
        for (const [i, body] of bodies.entries()) {
          const parts = new BodyParts(pool);
          const chunks = body.map((size, j) => Buffer.alloc(size, 16 * i + j));
          for (const chunk of chunks) parts.append(chunk);
          const expected = Buffer.concat(chunks);
          const received = parts.finish();
          expect(received.length).toBe(expected.length);
          expect(Buffer.concat(received.parts).equals(expected)).toBe(true);
          if (i % 2 === 0) parts.release();
        }
      }),
      {seed: 20_261_207, numRuns: 60},
    );
  });

  it('uses the buffers of a released body again, and drops them if none is needed', () => {
    const pool = new BodySegments();
    const first = new BodyParts(pool);
    first.append(Buffer.alloc(4 * SEGMENT_BYTES));
    first.release();
    expect(pool.freeCount).toBe(4);
    new BodyParts(pool).append(Buffer.alloc(SEGMENT_BYTES));
    expect(pool.freeCount).toBe(3);
    pool.trim();
    expect(pool.freeCount).toBe(3);
    pool.trim();
    expect(pool.freeCount).toBe(1);
  });
});

describe('DiscardedBuffers', () => {
  it('collects garbage each time that the limit is reached', () => {
    let collections = 0;
    const discarded = new DiscardedBuffers(100, () => collections++);
    for (let i = 0; i < 10; i++) discarded.add(30);
    expect(collections).toBe(2);
  });
});
