import {findLastEntryAtOrBefore} from './find_last_entry.js';
import {PAGE_ENTRIES, PrefixPage} from './prefix_page.js';

/** Position of an entry in the pages of a table. */
export interface PrefixPosition {
  /** Index of the page; -1 if the position is before the first entry. */
  page: number;
  index: number;
}

/** Keeps pages of sorted entries in order, with a directory of the first entry of each page. */
export class PrefixPageDirectory {
  private pageList: PrefixPage[] = [];
  /** First start address of each page, one column per word. */
  private starts: Uint32Array[];
  /** Length of the first entry of each page. */
  private firstLengths = new Uint8Array(0);

  constructor(private readonly wordCount: number) {
    this.starts = Array.from({length: wordCount}, () => new Uint32Array(0));
  }

  /** The pages in order. */
  get pages(): readonly PrefixPage[] {
    return this.pageList;
  }

  /** The first start address of each page, one column per word. */
  get firstStarts(): readonly Uint32Array[] {
    return this.starts;
  }

  /** The memory of the pages and the directory in bytes. */
  get byteLength(): number {
    const directory = this.starts.reduce((sum, f) => sum + f.byteLength, 0);
    return this.pageList.reduce(
      (sum, page) => sum + page.byteLength,
      directory,
    );
  }

  /**
   * Replaces all pages.
   * @param pages - The new pages in order; none may be empty.
   */
  replacePages(pages: PrefixPage[]): void {
    this.pageList = pages;
    this.rebuild();
  }

  /**
   * Returns the page of a position.
   * @param position - Position of an entry.
   */
  getPage({page}: PrefixPosition): PrefixPage {
    return this.pageList[page] as PrefixPage;
  }

  /**
   * Finds the last entry whose start address and length are at or before the given ones.
   * @param words - The start address.
   * @param length - The length in bits; infinite for any length.
   */
  findLastAtOrBefore(words: readonly number[], length: number): PrefixPosition {
    const {starts: firstStarts, firstLengths} = this;
    const count = this.pageList.length;
    const page = findLastEntryAtOrBefore(
      firstStarts,
      firstLengths,
      count,
      words,
      length,
    );
    const found = this.pageList[page];
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

  /**
   * Returns whether a prefix is at a position.
   * @param position - The position.
   * @param words - Start address of the prefix.
   * @param length - Its length in bits.
   */
  isEntryAt(
    {page, index}: PrefixPosition,
    words: readonly number[],
    length: number,
  ): boolean {
    const found = this.pageList[page];
    return (
      !!found &&
      found.lengths[index] === length &&
      found.starts.every((column, w) => column[index] === words[w])
    );
  }

  /**
   * Makes room for an entry and splits its page if that is full. The caller writes the entry and
   * then calls `updateFirst` if it is the first of its page.
   * @param before - Position of the entry before it.
   * @returns The position of the new entry.
   */
  insertGapAfter(before: PrefixPosition): PrefixPosition {
    if (this.pageList.length === 0) {
      this.pageList.push(new PrefixPage(this.wordCount));
      this.rebuild();
    }
    let page = Math.max(0, before.page);
    let index = before.index + 1;
    const full = this.pageList[page] as PrefixPage;
    if (full.count === PAGE_ENTRIES) {
      const upper = new PrefixPage(this.wordCount);
      full.moveTo(PAGE_ENTRIES / 2, upper);
      this.pageList.splice(page + 1, 0, upper);
      this.rebuild();
      if (index > full.count) {
        index -= full.count;
        page++;
      }
    }
    this.pageList[page]?.insertGap(index);
    return {page, index};
  }

  /**
   * Removes an entry, and its page if the rest fits into the previous one.
   * @param position - Position of the entry.
   */
  remove(position: PrefixPosition): void {
    const page = this.getPage(position);
    page.remove(position.index);
    if (page.count < PAGE_ENTRIES / 4 && this.mergePage(position.page)) {
      this.rebuild();
    } else if (position.index === 0) {
      this.updateFirst(position.page);
    }
  }

  /**
   * Copies the first entry of a page to the directory.
   * @param pageIndex - Index of the page.
   */
  updateFirst(pageIndex: number): void {
    const page = this.pageList[pageIndex] as PrefixPage;
    for (let w = 0; w < this.wordCount; w++) {
      const column = this.starts[w] as Uint32Array;
      column[pageIndex] = (page.starts[w] as Uint32Array)[0] as number;
    }
    this.firstLengths[pageIndex] = page.lengths[0] as number;
  }

  /**
   * Moves the entries of a page to the previous page if they fit; removes the page if it is empty.
   * Returns whether it was removed.
   */
  private mergePage(pageIndex: number): boolean {
    const page = this.pageList[pageIndex] as PrefixPage;
    const before = this.pageList[pageIndex - 1];
    const canMerge = before && before.count + page.count <= PAGE_ENTRIES * 0.75;
    if (canMerge) page.moveTo(0, before);
    if (page.count > 0) return false;
    this.pageList.splice(pageIndex, 1);
    return true;
  }

  private rebuild(): void {
    const count = this.pageList.length;
    this.starts = this.starts.map(() => new Uint32Array(count));
    this.firstLengths = new Uint8Array(count);
    for (let p = 0; p < count; p++) this.updateFirst(p);
  }
}
