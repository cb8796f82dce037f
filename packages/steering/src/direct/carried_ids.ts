import {hash32} from './hash_fraction.js';

/** Most ids that are remembered for one connection, 4 bytes each. */
export const MAX_CARRIED_IDS = 256;
const INITIAL_CAPACITY = 16;
/** Factor by which the memory grows, so that connections with few requests stay small. */
const GROWTH = 4;

/**
 * Remembers which request ids a connection has carried, as hashes: ids come from callers and may be
 * long. Two ids with the same hash count as one.
 */
export class CarriedIds {
  private hashes = new Uint32Array(INITIAL_CAPACITY);
  private count = 0;

  /**
   * Creates the memory of one connection.
   * @param maxIds - Most ids that are remembered.
   */
  constructor(private readonly maxIds = MAX_CARRIED_IDS) {}

  /** Whether no further id can be remembered, so that the connection must not carry one. */
  get isFull(): boolean {
    return this.count >= this.maxIds;
  }

  /**
   * Returns whether the connection has carried an id, or another one with the same hash.
   * @param id - Id of a request.
   */
  has(id: string): boolean {
    return this.countUses(hash32(id)) > 0;
  }

  /**
   * Adds an id that the connection carries now; it is not remembered if the memory is full.
   * @param id - Id of a request.
   * @returns How often the connection has carried the id with this time, as far as is remembered.
   */
  add(id: string): number {
    const hash = hash32(id);
    const uses = this.countUses(hash) + 1;
    if (!this.isFull) this.append(hash);
    return uses;
  }

  private countUses(hash: number): number {
    let uses = 0;
    for (let i = 0; i < this.count; i++) {
      if (this.hashes[i] === hash) uses++;
    }
    return uses;
  }

  private append(hash: number): void {
    if (this.count === this.hashes.length) this.grow();
    this.hashes[this.count++] = hash;
  }

  private grow(): void {
    const hashes = new Uint32Array(this.hashes.length * GROWTH);
    hashes.set(this.hashes);
    this.hashes = hashes;
  }
}
