import v8 from 'node:v8';
import vm from 'node:vm';

/** Frees the memory of buffers that are no longer referenced. */
export type CollectGarbage = () => void;

/**
 * Counts buffers that were read from connections and given up. They lie outside the heap and stay in
 * memory until the next garbage collection, which Node.js starts far too late for a small machine.
 */
export class DiscardedBuffers {
  private bytes = 0;

  /**
   * Creates the count.
   * @param maxBytes - Bytes at which garbage is collected; Infinity to leave that to Node.js.
   * @param collect - Collects garbage.
   */
  constructor(
    private readonly maxBytes: number,
    private readonly collect: CollectGarbage,
  ) {}

  /**
   * Counts a buffer that is no longer needed, or will not be once it has been parsed.
   * @param bytes - Its size in bytes.
   */
  add(bytes: number): void {
    this.bytes += bytes;
    if (this.bytes < this.maxBytes) return;
    this.bytes = 0;
    this.collect();
  }
}

/** Returns a function that collects garbage, which Node.js offers only under a flag of V8. */
export function createGarbageCollector(): CollectGarbage {
  v8.setFlagsFromString('--expose-gc');
  return vm.runInNewContext('gc') as CollectGarbage;
}
