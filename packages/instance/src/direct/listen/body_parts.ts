import type {RequestBody} from '../send/request_body.js';
import {type BodySegments, SEGMENT_BYTES} from './body_segments.js';

/** Size of the first buffer, in bytes; most bodies fit into it. */
const FIRST_PART_BYTES = 4 * 1024;

/** Collects a request body of unknown length in parts, without copying them as it grows. */
export class BodyParts {
  private readonly first = Buffer.allocUnsafe(FIRST_PART_BYTES);
  private readonly segments: Buffer[] = [];
  private size = 0;

  /**
   * Creates an empty body.
   * @param pool - Lends the buffers beyond the first one.
   */
  constructor(private readonly pool: BodySegments) {}

  /** The number of collected bytes. */
  get length(): number {
    return this.size;
  }

  /**
   * Copies bytes to the end of the body.
   * @param chunk - The bytes.
   */
  append(chunk: Buffer): void {
    for (let copied = 0; copied < chunk.length;) {
      const {part, offset} = this.getEnd();
      const count = chunk.copy(part, offset, copied);
      copied += count;
      this.size += count;
    }
  }

  /** Returns the collected body, which keeps the buffers. */
  finish(): RequestBody {
    const {size} = this;
    const parts = [this.first, ...this.segments];
    let left = size;
    const filled = parts.map(part => {
      const bytes = Math.min(left, part.length);
      left -= bytes;
      return part.subarray(0, bytes);
    });
    return {parts: filled, length: size};
  }

  /** Gives the buffers back; the body must not be used any more. */
  release(): void {
    this.pool.giveBack(this.segments.splice(0));
  }

  /** Returns the buffer with room for the next byte, and the position of that byte. */
  private getEnd(): {part: Buffer; offset: number} {
    if (this.size < FIRST_PART_BYTES) {
      return {part: this.first, offset: this.size};
    }
    const offset = (this.size - FIRST_PART_BYTES) % SEGMENT_BYTES;
    if (offset === 0) this.segments.push(this.pool.take());
    return {part: this.segments.at(-1)!, offset};
  }
}
