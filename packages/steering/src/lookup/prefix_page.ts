/** Capacity of a page in entries; a change shifts at most the entries of one page. */
export const PAGE_ENTRIES = 1024;

/** Value in `parentLengths` of an entry that no other prefix contains. */
export const NO_PARENT = 0;

/** Stores consecutive entries of a sorted prefix table in columns. */
export class PrefixPage {
  count = 0;
  /** Start addresses, one column per word. */
  readonly starts: Uint32Array[];
  readonly lengths: Uint8Array;
  /** Length plus 1 of the longest other prefix that contains the entry, or `NO_PARENT`. */
  readonly parentLengths: Uint8Array;
  readonly values: Uint16Array;

  constructor(readonly wordCount: number) {
    const wordBytes = PAGE_ENTRIES * 4;
    const buffer = new ArrayBuffer(wordCount * wordBytes + PAGE_ENTRIES * 4);
    this.starts = Array.from(
      {length: wordCount},
      (_, i) => new Uint32Array(buffer, i * wordBytes, PAGE_ENTRIES),
    );
    const valuesOffset = wordCount * wordBytes;
    this.values = new Uint16Array(buffer, valuesOffset, PAGE_ENTRIES);
    this.lengths = new Uint8Array(
      buffer,
      valuesOffset + PAGE_ENTRIES * 2,
      PAGE_ENTRIES,
    );
    this.parentLengths = new Uint8Array(
      buffer,
      valuesOffset + PAGE_ENTRIES * 3,
      PAGE_ENTRIES,
    );
  }

  /** The memory of the columns in bytes. */
  get byteLength(): number {
    return this.values.buffer.byteLength;
  }

  /**
   * Shifts entries to make room for a new entry, which the caller then writes.
   * @param index - Index of the new entry; the page must not be full.
   */
  insertGap(index: number): void {
    for (const column of this.columns()) {
      column.copyWithin(index + 1, index, this.count);
    }
    this.count++;
  }

  /**
   * Writes the prefix of an entry.
   * @param index - Index of the entry.
   * @param words - Start address of the prefix.
   * @param length - Its length in bits.
   */
  write(index: number, words: readonly number[], length: number): void {
    this.starts.forEach((column, w) => (column[index] = words[w] ?? 0));
    this.lengths[index] = length;
  }

  /**
   * Removes an entry.
   * @param index - Index of the entry.
   */
  remove(index: number): void {
    for (const column of this.columns()) {
      column.copyWithin(index, index + 1, this.count);
    }
    this.count--;
  }

  /**
   * Moves the entries from an index on to the end of another page.
   * @param from - Index of the first entry to move.
   * @param target - The page to append them to; it must have room for them.
   */
  moveTo(from: number, target: PrefixPage): void {
    const ownColumns = this.columns();
    target.columns().forEach((column, i) => {
      const source = ownColumns[i];
      if (source) column.set(source.subarray(from, this.count), target.count);
    });
    target.count += this.count - from;
    this.count = from;
  }

  /**
   * Sets the parent length of entries whose parent is shorter or missing. This loop is a separate
   * method so that the JIT compiler optimizes it during a single change that touches all pages.
   * @param from - Index of the first entry.
   * @param end - Index after the last entry.
   * @param length - Length of the new parent prefix in bits.
   */
  raiseParentLengths(from: number, end: number, length: number): void {
    const {parentLengths} = this;
    for (let index = from; index < end; index++) {
      if ((parentLengths[index] as number) <= length)
        parentLengths[index] = length + 1;
    }
  }

  private columns(): (Uint32Array | Uint16Array | Uint8Array)[] {
    return [...this.starts, this.lengths, this.parentLengths, this.values];
  }
}
