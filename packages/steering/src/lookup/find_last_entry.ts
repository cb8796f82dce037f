/**
 * Finds the last entry at or before a start address and length by binary search.
 * @param starts - Start addresses of the sorted entries, one column per word.
 * @param lengths - Their lengths in bits.
 * @param count - Number of entries.
 * @param words - The start address.
 * @param length - The length in bits; infinite for any length.
 * @returns The index of the entry, or -1 if there is none.
 */
export function findLastEntryAtOrBefore(
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

/**
 * Finds the last word that is at most another one by binary search.
 * @param column - The sorted words.
 * @param count - Number of words.
 * @param word - The other word.
 * @returns The index of the word, or -1 if there is none.
 */
export function findLastWordAtMost(
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
