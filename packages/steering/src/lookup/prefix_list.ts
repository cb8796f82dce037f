/** Collects prefixes of one address family in columns, which avoids an object per prefix. */
export class PrefixList {
  count = 0;
  starts: Uint32Array[];
  lengths = new Uint8Array(1024);
  values = new Uint16Array(1024);

  constructor(readonly wordCount: number) {
    this.starts = Array.from({length: wordCount}, () => new Uint32Array(1024));
  }

  /**
   * Adds a prefix.
   * @param words - Its start address as 32-bit words.
   * @param length - Its length in bits.
   * @param value - The value that it maps to.
   */
  add(words: readonly number[], length: number, value: number): void {
    if (this.count === this.lengths.length) this.grow();
    this.starts.forEach((column, i) => (column[this.count] = words[i] ?? 0));
    this.lengths[this.count] = length;
    this.values[this.count] = value;
    this.count++;
  }

  /**
   * Sorts by start address and length; equal entries stay in insertion order.
   * @returns The indexes of the entries in sorted order.
   */
  getSortedIndexes(): Uint32Array {
    const order = new Uint32Array(this.count).map((_, i) => i);
    for (let i = 1; i < this.count; i++) {
      if (this.compare(i - 1, i) > 0) {
        return order.sort((a, b) => this.compare(a, b));
      }
    }
    return order;
  }

  /**
   * Compares two entries by start address and length.
   * @param a - Index of an entry.
   * @param b - Index of an entry.
   * @returns A negative number, 0 or a positive number, as for `Array.sort`.
   */
  compare(a: number, b: number): number {
    for (const column of this.starts) {
      const difference = (column[a] ?? 0) - (column[b] ?? 0);
      if (difference !== 0) return difference;
    }
    return (this.lengths[a] ?? 0) - (this.lengths[b] ?? 0);
  }

  private grow(): void {
    const capacity = this.lengths.length * 2;
    this.starts = this.starts.map(column => {
      const next = new Uint32Array(capacity);
      next.set(column);
      return next;
    });
    const lengths = new Uint8Array(capacity);
    lengths.set(this.lengths);
    this.lengths = lengths;
    const values = new Uint16Array(capacity);
    values.set(this.values);
    this.values = values;
  }
}
