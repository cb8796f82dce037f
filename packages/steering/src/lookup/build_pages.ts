import {listEntryContains} from './prefix_containment.js';
import type {PrefixList} from './prefix_list.js';
import {NO_PARENT, PAGE_ENTRIES, PrefixPage} from './prefix_page.js';

/** Fill ratio of pages when a table is built; the free entries make page splits by changes rare. */
const BUILD_FILL_RATIO = 0.9;

/**
 * Sorts the prefixes of a list into pages; the last of several equal prefixes wins.
 * @param list - The prefixes.
 * @returns The pages in order, with the parent length of each entry.
 */
export function buildPages(list: PrefixList): PrefixPage[] {
  const pages: PrefixPage[] = [];
  const order = list.getSortedIndexes();
  const stack: number[] = [];
  const words = new Array<number>(list.wordCount).fill(0);
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
      page = new PrefixPage(list.wordCount);
      pages.push(page);
    }
    const index = page.count++;
    page.write(index, words, list.lengths[entry] ?? 0);
    page.values[index] = list.values[entry] ?? 0;
    page.parentLengths[index] =
      parent === undefined ? NO_PARENT : (list.lengths[parent] ?? 0) + 1;
  }
  return pages;
}
