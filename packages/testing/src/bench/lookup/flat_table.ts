import type {ParsedBlock} from '@primrosestage/steering';

/**
 * Searches one flat sorted array of start addresses, the baseline for the block table. It selects
 * the last block that begins at or before the address, and does not support nested blocks, changes
 * or IPv6.
 */
export class FlatTable {
  private readonly sortedStarts: Uint32Array;
  private readonly values: Uint16Array;

  constructor(blocks: readonly ParsedBlock[]) {
    const starts = blocks
      .filter(({prefix}) => prefix.words.length === 1)
      .map(({prefix}) => prefix.words[0] ?? 0);
    this.sortedStarts = Uint32Array.from(starts).sort();
    this.values = Uint16Array.from(this.sortedStarts, (_, i) => i % 540);
  }

  /**
   * Looks an address up.
   * @param word - The address as an unsigned number.
   * @returns The value of the last block that begins at or before it, or -1.
   */
  lookupWord(word: number): number {
    let low = 0;
    let high = this.sortedStarts.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.sortedStarts[middle] as number) <= word) low = middle + 1;
      else high = middle;
    }
    return low === 0 ? -1 : (this.values[low - 1] as number);
  }
}
