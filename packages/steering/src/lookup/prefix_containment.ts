import {maskWord} from './prefix.js';
import type {PrefixList} from './prefix_list.js';
import type {PrefixPage} from './prefix_page.js';

/**
 * Returns whether an entry of a page contains an address.
 * @param page - The page.
 * @param index - Index of the entry.
 * @param words - The address as 32-bit words.
 */
export function entryContains(
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

/**
 * Returns whether a prefix contains an entry of a page.
 * @param page - The page.
 * @param index - Index of the entry.
 * @param words - Start address of the prefix.
 * @param length - Length of the prefix in bits.
 */
export function isEntryWithin(
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

/**
 * Returns whether an entry of a list contains an address.
 * @param list - The list.
 * @param entry - Index of the entry.
 * @param words - The address as 32-bit words.
 */
export function listEntryContains(
  list: PrefixList,
  entry: number,
  words: readonly number[],
): boolean {
  const length = list.lengths[entry] ?? 0;
  return list.starts.every(
    (column, w) => maskWord(words[w] ?? 0, w, length) === (column[entry] ?? 0),
  );
}
