import {maskWord} from './prefix.js';
import type {PrefixList} from './prefix_list.js';
import {NO_PARENT, PAGE_ENTRIES, PrefixPage} from './prefix_page.js';

/** Fill ratio of pages when a table is built; the free entries make page splits by changes rare. */
const BUILD_FILL_RATIO = 0.9;

interface Position {
  /** Index of the page; -1 if the position is before the first entry. */
  page: number;
  index: number;
}

/**
 * Maps addresses of one family to values by longest prefix match. The prefixes are sorted by start
 * address and length, and each entry stores the length of the longest other prefix that contains it.
 * A lookup finds an entry by binary search. If that entry does not contain the address, the lookup
 * follows the parent lengths to shorter prefixes, with another binary search for each.
 */
export class PrefixTable {
  private pages: PrefixPage[] = [];
  /** First start address of each page, one column per word. */
  private firstStarts: Uint32Array[];
  /** Length of the first entry of each page. */
  private firstLengths = new Uint8Array(0);
  private entryCount = 0;

  constructor(private readonly wordCount: number) {
    this.firstStarts = Array.from(
      {length: wordCount},
      () => new Uint32Array(0),
    );
  }

  /** The number of prefixes. */
  get size(): number {
    return this.entryCount;
  }

  /** The memory of the pages and the page directory in bytes. */
  get byteLength(): number {
    const directory = this.firstStarts.reduce(
      (sum, f) => sum + f.byteLength,
      0,
    );
    return this.pages.reduce((sum, page) => sum + page.byteLength, directory);
  }

  /**
   * Replaces the content with the prefixes of a list; the last of several equal prefixes wins.
   * @param list - The prefixes.
   */
  build(list: PrefixList): void {
    this.pages = [];
    this.entryCount = 0;
    const order = list.getSortedIndexes();
    const stack: number[] = [];
    const words = new Array<number>(this.wordCount).fill(0);
    let page: PrefixPage | undefined;
    for (let i = 0; i < order.length; i++) {
      const entry = order[i] ?? 0;
      const next = order[i + 1];
      if (next !== undefined && list.compare(entry, next) === 0) continue;
      list.starts.forEach((column, w) => (words[w] = column[entry] ?? 0));
      while (
        stack.length > 0 &&
        !listEntryContains(list, stack.at(-1) ?? 0, words)
      ) {
        stack.pop();
      }
      const parent = stack.at(-1);
      stack.push(entry);
      if (!page || page.count >= PAGE_ENTRIES * BUILD_FILL_RATIO) {
        page = new PrefixPage(this.wordCount);
        this.pages.push(page);
      }
      const index = page.count++;
      this.writeEntry(page, index, words, list.lengths[entry] ?? 0);
      page.values[index] = list.values[entry] ?? 0;
      page.parentLengths[index] =
        parent === undefined ? NO_PARENT : (list.lengths[parent] ?? 0) + 1;
      this.entryCount++;
    }
    this.rebuildDirectory();
  }

  /**
   * Looks up an address.
   * @param words - The address as 32-bit words.
   * @returns The value of the longest prefix that contains it, or -1.
   */
  lookup(words: readonly number[]): number {
    return this.wordCount === 1
      ? this.lookupWord(words[0] ?? 0)
      : this.lookupFrom(this.findLastAtOrBefore(words, Infinity), words);
  }

  /**
   * Looks up an address of one word.
   * @param word - The address as an unsigned number.
   * @returns The value of the longest prefix that contains it, or -1.
   */
  lookupWord(word: number): number {
    const firstStarts = this.firstStarts[0] as Uint32Array;
    let target = word;
    let maxLength = Infinity;
    for (;;) {
      const pageIndex = findLastWordAtMost(
        firstStarts,
        firstStarts.length,
        target,
      );
      if (pageIndex < 0) return -1;
      const page = this.pages[pageIndex] as PrefixPage;
      const starts = page.starts[0] as Uint32Array;
      let index = findLastWordAtMost(starts, page.count, target);
      // Entries with the same start address are sorted by length and may span two pages.
      while ((page.lengths[index] as number) > maxLength) {
        if (index === 0)
          return this.lookupFrom(this.findLastAtOrBefore([target], maxLength), [
            word,
          ]);
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
    const before = this.findLastAtOrBefore(words, length);
    if (this.isEntryAt(before, words, length)) {
      this.getPage(before).values[before.index] = value;
      return;
    }
    const parent = this.findContaining(before, words, length);
    const position = this.insertGapAfter(before);
    const page = this.getPage(position);
    this.writeEntry(page, position.index, words, length);
    page.values[position.index] = value;
    page.parentLengths[position.index] = parent
      ? (this.getPage(parent).lengths[parent.index] ?? 0) + 1
      : NO_PARENT;
    this.entryCount++;
    if (position.index === 0) this.updateDirectory(position.page);
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
    const position = this.findLastAtOrBefore(words, length);
    if (!this.isEntryAt(position, words, length)) return false;
    const page = this.getPage(position);
    page.remove(position.index);
    this.entryCount--;
    if (page.count < PAGE_ENTRIES / 4 && this.mergePage(position.page)) {
      this.rebuildDirectory();
    } else if (position.index === 0) {
      this.updateDirectory(position.page);
    }
    return true;
  }

  private lookupFrom(from: Position, words: readonly number[]): number {
    const found = this.findContaining(from, words, Infinity);
    return found ? (this.getPage(found).values[found.index] ?? -1) : -1;
  }

  /**
   * Follows parent lengths from an entry to the longest prefix that contains an address and is
   * shorter than a given length.
   */
  private findContaining(
    from: Position,
    words: readonly number[],
    shorterThan: number,
  ): Position | undefined {
    let position = from;
    while (position.page >= 0) {
      const page = this.getPage(position);
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
      position = this.findLastAtOrBefore(start, parentLength);
    }
    return undefined;
  }

  /** Finds the last entry whose start address and length are at or before the given ones. */
  private findLastAtOrBefore(
    words: readonly number[],
    length: number,
  ): Position {
    const {firstStarts, firstLengths} = this;
    const count = this.pages.length;
    const page = findLastEntryAtOrBefore(
      firstStarts,
      firstLengths,
      count,
      words,
      length,
    );
    const found = this.pages[page];
    if (!found) return {page: -1, index: -1};
    const {starts, lengths} = found;
    return {
      page,
      index: findLastEntryAtOrBefore(
        starts,
        lengths,
        found.count,
        words,
        length,
      ),
    };
  }

  private isEntryAt(
    {page, index}: Position,
    words: readonly number[],
    length: number,
  ): boolean {
    const found = this.pages[page];
    return (
      !!found &&
      found.lengths[index] === length &&
      found.starts.every((column, w) => column[index] === words[w])
    );
  }

  private insertGapAfter(before: Position): Position {
    if (this.pages.length === 0) {
      this.pages.push(new PrefixPage(this.wordCount));
      this.rebuildDirectory();
    }
    let page = Math.max(0, before.page);
    let index = before.index + 1;
    const full = this.pages[page] as PrefixPage;
    if (full.count === PAGE_ENTRIES) {
      const upper = new PrefixPage(this.wordCount);
      full.moveTo(PAGE_ENTRIES / 2, upper);
      this.pages.splice(page + 1, 0, upper);
      this.rebuildDirectory();
      if (index > full.count) {
        index -= full.count;
        page++;
      }
    }
    this.pages[page]?.insertGap(index);
    return {page, index};
  }

  /**
   * Moves the entries of a page to the previous page if they fit; removes the page if it is empty.
   * Returns whether it was removed.
   */
  private mergePage(pageIndex: number): boolean {
    const page = this.pages[pageIndex] as PrefixPage;
    const before = this.pages[pageIndex - 1];
    const canMerge = before && before.count + page.count <= PAGE_ENTRIES * 0.75;
    if (canMerge) page.moveTo(0, before);
    if (page.count > 0) return false;
    this.pages.splice(pageIndex, 1);
    return true;
  }

  /** Sets the parent length of entries for which a new prefix is the longest containing one. */
  private updateParentLengths(
    position: Position,
    words: readonly number[],
    length: number,
  ): void {
    let from = position.index + 1;
    for (let p = position.page; p < this.pages.length; p++) {
      const page = this.pages[p] as PrefixPage;
      let end = page.count;
      while (end > from && !isEntryWithin(page, end - 1, words, length)) end--;
      page.raiseParentLengths(from, end, length);
      if (end < page.count) return;
      from = 0;
    }
  }

  private writeEntry(
    page: PrefixPage,
    index: number,
    words: readonly number[],
    length: number,
  ): void {
    page.starts.forEach((column, w) => (column[index] = words[w] ?? 0));
    page.lengths[index] = length;
  }

  private rebuildDirectory(): void {
    const count = this.pages.length;
    this.firstStarts = this.firstStarts.map(() => new Uint32Array(count));
    this.firstLengths = new Uint8Array(count);
    for (let p = 0; p < count; p++) this.updateDirectory(p);
  }

  private updateDirectory(pageIndex: number): void {
    const page = this.pages[pageIndex] as PrefixPage;
    for (let w = 0; w < this.wordCount; w++) {
      const column = this.firstStarts[w] as Uint32Array;
      column[pageIndex] = (page.starts[w] as Uint32Array)[0] as number;
    }
    this.firstLengths[pageIndex] = page.lengths[0] as number;
  }

  private getPage({page}: Position): PrefixPage {
    return this.pages[page] as PrefixPage;
  }
}

/** Finds the last sorted entry at or before a start address and length; -1 if there is none. */
function findLastEntryAtOrBefore(
  starts: readonly Uint32Array[],
  lengths: Uint8Array,
  count: number,
  words: readonly number[],
  length: number,
): number {
  const column = starts[0] as Uint32Array;
  const word = words[0] as number;
  let low = 0;
  let high = count;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const entryWord = column[middle] as number;
    const isBefore =
      entryWord === word
        ? compareRemaining(starts, lengths, middle, words, length) <= 0
        : entryWord < word;
    if (isBefore) low = middle + 1;
    else high = middle;
  }
  return low - 1;
}

function compareRemaining(
  starts: readonly Uint32Array[],
  lengths: Uint8Array,
  index: number,
  words: readonly number[],
  length: number,
): number {
  for (let w = 1; w < starts.length; w++) {
    const entryWord = (starts[w] as Uint32Array)[index] as number;
    const other = words[w] as number;
    if (entryWord !== other) return entryWord - other;
  }
  return (lengths[index] as number) - length;
}

function findLastWordAtMost(
  column: Uint32Array,
  count: number,
  word: number,
): number {
  let low = 0;
  let high = count;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((column[middle] as number) <= word) low = middle + 1;
    else high = middle;
  }
  return low - 1;
}

function entryContains(
  page: PrefixPage,
  index: number,
  words: readonly number[],
): boolean {
  const length = page.lengths[index] ?? 0;
  for (let w = 0; w < page.wordCount; w++) {
    const start = page.starts[w]?.[index] ?? 0;
    if (maskWord(words[w] ?? 0, w, length) !== start) return false;
  }
  return true;
}

function isEntryWithin(
  page: PrefixPage,
  index: number,
  words: readonly number[],
  length: number,
): boolean {
  for (let w = 0; w < page.wordCount; w++) {
    const entryWord = page.starts[w]?.[index] as number;
    if (maskWord(entryWord, w, length) !== (words[w] ?? 0)) return false;
  }
  return true;
}

function listEntryContains(
  list: PrefixList,
  entry: number,
  words: readonly number[],
): boolean {
  const length = list.lengths[entry] ?? 0;
  return list.starts.every(
    (column, w) => maskWord(words[w] ?? 0, w, length) === (column[entry] ?? 0),
  );
}
