import {buildPages} from './build_pages.js';
import {findLastWordAtMost} from './find_last_entry.js';
import {maskWord} from './prefix.js';
import {entryContains, isEntryWithin} from './prefix_containment.js';
import type {PrefixList} from './prefix_list.js';
import {NO_PARENT, type PrefixPage} from './prefix_page.js';
import {
  PrefixPageDirectory,
  type PrefixPosition,
} from './prefix_page_directory.js';

/**
 * Maps addresses of one family to values by longest prefix match. The prefixes are sorted by start
 * address and length, and each entry stores the length of the longest other prefix that contains it.
 * A lookup finds an entry by binary search. If that entry does not contain the address, the lookup
 * follows the parent lengths to shorter prefixes, with another binary search for each.
 */
export class PrefixTable {
  private readonly directory: PrefixPageDirectory;
  private entryCount = 0;

  constructor(private readonly wordCount: number) {
    this.directory = new PrefixPageDirectory(wordCount);
  }

  /** The number of prefixes. */
  get size(): number {
    return this.entryCount;
  }

  /** The memory of the pages and the page directory in bytes. */
  get byteLength(): number {
    return this.directory.byteLength;
  }

  /**
   * Replaces the content with the prefixes of a list; the last of several equal prefixes wins.
   * @param list - The prefixes.
   */
  build(list: PrefixList): void {
    const pages = buildPages(list);
    this.directory.replacePages(pages);
    this.entryCount = pages.reduce((sum, page) => sum + page.count, 0);
  }

  /**
   * Looks up an address.
   * @param words - The address as 32-bit words.
   * @returns The value of the longest prefix that contains it, or -1.
   */
  lookup(words: readonly number[]): number {
    return this.wordCount === 1
      ? this.lookupWord(words[0] ?? 0)
      : this.lookupFrom(
          this.directory.findLastAtOrBefore(words, Infinity),
          words,
        );
  }

  /**
   * Looks up an address of one word.
   * @param word - The address as an unsigned number.
   * @returns The value of the longest prefix that contains it, or -1.
   */
  lookupWord(word: number): number {
    const {pages} = this.directory;
    const firstStarts = this.directory.firstStarts[0] as Uint32Array;
    let target = word;
    let maxLength = Infinity;
    for (;;) {
      const pageIndex = findLastWordAtMost(
        firstStarts,
        firstStarts.length,
        target,
      );
      if (pageIndex < 0) return -1;
      const page = pages[pageIndex] as PrefixPage;
      const starts = page.starts[0] as Uint32Array;
      let index = findLastWordAtMost(starts, page.count, target);
      // Entries with the same start address are sorted by length and may span two pages.
      while ((page.lengths[index] as number) > maxLength) {
        if (index === 0)
          return this.lookupFrom(
            this.directory.findLastAtOrBefore([target], maxLength),
            [word],
          );
        index--;
      }
      const length = page.lengths[index] as number;
      const start = starts[index] as number;
      if (length === 0 || (word ^ start) >>> (32 - length) === 0) {
        return page.values[index] as number;
      }
      const parent = page.parentLengths[index] as number;
      if (parent === NO_PARENT) return -1;
      maxLength = parent - 1;
      target = maskWord(start, 0, maxLength);
    }
  }

  /**
   * Adds a prefix or changes its value.
   * @param words - Its start address.
   * @param length - Its length in bits.
   * @param value - The value.
   */
  set(words: readonly number[], length: number, value: number): void {
    const before = this.directory.findLastAtOrBefore(words, length);
    if (this.directory.isEntryAt(before, words, length)) {
      this.directory.getPage(before).values[before.index] = value;
      return;
    }
    const parent = this.findContaining(before, words, length);
    const position = this.directory.insertGapAfter(before);
    const page = this.directory.getPage(position);
    page.write(position.index, words, length);
    page.values[position.index] = value;
    page.parentLengths[position.index] = parent
      ? (this.directory.getPage(parent).lengths[parent.index] ?? 0) + 1
      : NO_PARENT;
    this.entryCount++;
    if (position.index === 0) this.directory.updateFirst(position.page);
    this.updateParentLengths(position, words, length);
  }

  /**
   * Removes a prefix. The entries that it contained keep its length as their parent length: a lookup
   * that follows it reaches the entry before the removed one, and every remaining prefix that
   * contained the removed one also contains that entry or is that entry.
   * @param words - Its start address.
   * @param length - Its length in bits.
   * @returns Whether the table contained it.
   */
  delete(words: readonly number[], length: number): boolean {
    const position = this.directory.findLastAtOrBefore(words, length);
    if (!this.directory.isEntryAt(position, words, length)) return false;
    this.directory.remove(position);
    this.entryCount--;
    return true;
  }

  private lookupFrom(from: PrefixPosition, words: readonly number[]): number {
    const found = this.findContaining(from, words, Infinity);
    return found
      ? (this.directory.getPage(found).values[found.index] ?? -1)
      : -1;
  }

  /**
   * Follows parent lengths from an entry to the longest prefix that contains an address and is
   * shorter than a given length.
   */
  private findContaining(
    from: PrefixPosition,
    words: readonly number[],
    shorterThan: number,
  ): PrefixPosition | undefined {
    let position = from;
    while (position.page >= 0) {
      const page = this.directory.getPage(position);
      const length = page.lengths[position.index] ?? 0;
      if (length < shorterThan && entryContains(page, position.index, words)) {
        return position;
      }
      const parent = page.parentLengths[position.index] ?? NO_PARENT;
      if (parent === NO_PARENT) return undefined;
      const parentLength = parent - 1;
      const {index} = position;
      const start = page.starts.map((column, w) =>
        maskWord(column[index] ?? 0, w, parentLength),
      );
      position = this.directory.findLastAtOrBefore(start, parentLength);
    }
    return undefined;
  }

  /** Sets the parent length of entries for which a new prefix is the longest containing one. */
  private updateParentLengths(
    position: PrefixPosition,
    words: readonly number[],
    length: number,
  ): void {
    const {pages} = this.directory;
    let from = position.index + 1;
    for (let p = position.page; p < pages.length; p++) {
      const page = pages[p] as PrefixPage;
      let end = page.count;
      while (end > from && !isEntryWithin(page, end - 1, words, length)) end--;
      page.raiseParentLengths(from, end, length);
      if (end < page.count) return;
      from = 0;
    }
  }
}
