import {Step, StepError} from '@primrosestage/common';
import ipaddr from 'ipaddr.js';

/** Holds an address prefix as 32-bit words, one for IPv4 and four for IPv6. */
export interface Prefix {
  words: readonly number[];
  /** Number of leading bits that an address must match. */
  length: number;
}

/**
 * Parses an address prefix.
 * @param text - The prefix as `IP/bits`.
 * @returns The prefix with all bits beyond its length set to 0.
 * @throws StepError if the text is not a prefix.
 */
export function parsePrefix(text: string): Prefix {
  if (!ipaddr.isValidCIDR(text)) {
    throw new StepError(
      {step: Step.Lookup, peer: text},
      `block ${JSON.stringify(text)}: expected an address prefix as IP/bits`,
    );
  }
  const [address, length] = ipaddr.parseCIDR(text);
  const words = getWords(address.toByteArray());
  return {words: words.map((word, i) => maskWord(word, i, length)), length};
}

/**
 * Parses an address; an IPv4-mapped IPv6 address is converted to IPv4.
 * @param text - The address.
 * @returns Its 32-bit words, or undefined if the text is not an address.
 */
export function parseAddressWords(text: string): number[] | undefined {
  if (!ipaddr.isValid(text)) return undefined;
  return getWords(ipaddr.process(text).toByteArray());
}

/**
 * Clears the bits of an address word that are beyond a prefix length.
 * @param word - The word.
 * @param index - Index of the word in its address.
 * @param length - Length of the prefix in bits.
 * @returns The masked word as an unsigned number.
 */
export function maskWord(word: number, index: number, length: number): number {
  const bits = length - index * 32;
  if (bits <= 0) return 0;
  return bits >= 32 ? word >>> 0 : (word & (-1 << (32 - bits))) >>> 0;
}

function getWords(bytes: readonly number[]): number[] {
  const words: number[] = [];
  for (let i = 0; i < bytes.length; i += 4) {
    const [a = 0, b = 0, c = 0, d = 0] = bytes.slice(i, i + 4);
    words.push(((a << 24) | (b << 16) | (c << 8) | d) >>> 0);
  }
  return words;
}
