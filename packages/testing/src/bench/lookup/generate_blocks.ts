import type {ParsedBlock, Prefix} from '@primrosestage/steering';
import type {Random} from '../create_random.js';

/** Number of regions, named `site-0` and so on, that the blocks map to. */
export const SITE_COUNT = 540;

/** Number of generated blocks. */
export const BLOCK_COUNT = 1_900_000;

/** Fraction of the blocks that are IPv6. */
const IPV6_FRACTION = 0.2;

/** Prefix lengths of IPv4 blocks, weighted by repetition; blocks with short ones contain others. */
const IPV4_LENGTHS = [16, 18, 19, 20, 21, 22, 22, 23, 24, 24, 24, 24];
const IPV6_LENGTHS = [32, 40, 44, 48, 48, 48, 56];

/**
 * Generates distinct blocks, of which those with short prefixes contain some of the others.
 * @param random - Source of random numbers.
 * @returns The blocks in random order.
 */
export function* generateBlocks(random: Random): Generator<ParsedBlock> {
  const seen = new Set<number>();
  let count = 0;
  while (count < BLOCK_COUNT) {
    const isIpv6 = count < BLOCK_COUNT * IPV6_FRACTION;
    const prefix = isIpv6 ? generateIpv6(random) : generateIpv4(random);
    const [first = 0, second = 0] = prefix.words;
    const key = isIpv6
      ? (first & 0xfff) * 2 ** 40 + second * 2 ** 6 + (prefix.length & 63)
      : -(first * 64 + prefix.length) - 1;
    if (seen.has(key)) continue;
    seen.add(key);
    count++;
    yield {prefix, region: `site-${Math.floor(random() * SITE_COUNT)}`};
  }
}

/**
 * Generates an address that a block contains.
 * @param prefix - The prefix of the block.
 * @param random - Source of random numbers.
 * @returns The words of the address.
 */
export function generateAddress({words, length}: Prefix, random: Random) {
  return words.map((word, i) => {
    const hostBits = Math.min(32, Math.max(0, (i + 1) * 32 - length));
    return (word + Math.floor(random() * 2 ** hostBits)) >>> 0;
  });
}

function generateIpv4(random: Random): Prefix {
  const length = pick(IPV4_LENGTHS, random);
  // Unicast addresses, 1.0.0.0 to 223.255.255.255.
  const address = 2 ** 24 + Math.floor(random() * (223 * 2 ** 24));
  return {words: [clearHostBits(address, length)], length};
}

function generateIpv6(random: Random): Prefix {
  const length = pick(IPV6_LENGTHS, random);
  const first = 0x20010000 + Math.floor(random() * 4096);
  const second = clearHostBits(random() * 2 ** 32, length - 32);
  return {words: [first, second, 0, 0], length};
}

function clearHostBits(word: number, length: number): number {
  const size = 2 ** (32 - length);
  return Math.floor(word / size) * size;
}

function pick(list: readonly number[], random: Random): number {
  return list[Math.floor(random() * list.length)] ?? 24;
}
