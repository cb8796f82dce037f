/** Size of a segment in bytes. */
export const SEGMENT_BYTES = 64 * 1024;

/**
 * Lends buffers of one size for request bodies of unknown length. Those of bodies that were refused
 * or broken off are used again, so that they neither await garbage collection nor fragment memory.
 */
export class BodySegments {
  private readonly free: Buffer[] = [];
  private wasUsed = false;

  /** The number of buffers that are kept for use. */
  get freeCount(): number {
    return this.free.length;
  }

  /** Returns a buffer with any content. */
  take(): Buffer {
    this.wasUsed = true;
    return this.free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES);
  }

  /**
   * Takes back buffers to which nothing else refers.
   * @param segments - Buffers that were taken from here.
   */
  giveBack(segments: readonly Buffer[]): void {
    this.free.push(...segments);
  }

  /** Drops half of the kept buffers, unless one was taken since the last call. */
  trim(): void {
    if (!this.wasUsed) this.free.length = Math.floor(this.free.length / 2);
    this.wasUsed = false;
  }
}
