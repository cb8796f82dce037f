import {Step, StepError} from '@primrosestage/common';
import {parseAddressWords, parsePrefix, type Prefix} from './prefix.js';
import {PrefixList} from './prefix_list.js';
import {PrefixTable} from './prefix_table.js';

/** Maximum number of distinct region names, so that each index fits a 16-bit value column. */
const MAX_REGION_NAMES = 0xffff;

/** Maps an address prefix to a region or site. */
export interface Block {
  /** Prefix as `IP/bits`. */
  prefix: string;
  /** Name of the region or site. */
  region: string;
}

/** Maps a parsed address prefix to a region or site. */
export interface ParsedBlock {
  prefix: Prefix;
  region: string;
}

/** Maps client addresses to regions or sites by longest prefix match. */
export class BlockTable {
  private readonly ipv4 = new PrefixTable(1);
  private readonly ipv6 = new PrefixTable(4);
  private readonly regionNames: string[] = [];
  private readonly valuesByRegion = new Map<string, number>();

  /**
   * Builds a table.
   * @param blocks - The blocks; the last of several blocks with the same prefix wins.
   * @returns The table.
   * @throws StepError if a prefix is invalid or there are too many names.
   */
  static build(blocks: Iterable<Block>): BlockTable {
    return BlockTable.buildFromPrefixes(parseBlocks(blocks));
  }

  /**
   * Builds a table from parsed prefixes.
   * @param blocks - The blocks; the last of several blocks with the same prefix wins.
   * @returns The table.
   * @throws StepError if there are too many names.
   */
  static buildFromPrefixes(blocks: Iterable<ParsedBlock>): BlockTable {
    const table = new BlockTable();
    const lists = {ipv4: new PrefixList(1), ipv6: new PrefixList(4)};
    for (const {prefix, region} of blocks) {
      const {words, length} = prefix;
      const list = words.length === 1 ? lists.ipv4 : lists.ipv6;
      list.add(words, length, table.getOrAddValue(region));
    }
    table.ipv4.build(lists.ipv4);
    table.ipv6.build(lists.ipv6);
    return table;
  }

  /** The number of blocks. */
  get size(): number {
    return this.ipv4.size + this.ipv6.size;
  }

  /** The memory of the prefix tables in bytes, without the region names. */
  get byteLength(): number {
    return this.ipv4.byteLength + this.ipv6.byteLength;
  }

  /**
   * Gets the region or site of an address.
   * @param address - The IPv4 or IPv6 address as text.
   * @returns The name, or undefined if no block contains the address or the text is not an address.
   */
  getRegion(address: string): string | undefined {
    const words = parseAddressWords(address);
    return words && this.getRegionOfWords(words);
  }

  /**
   * Gets the region or site of a parsed address.
   * @param words - The address as one 32-bit word for IPv4, four for IPv6.
   * @returns The name, or undefined if no block contains the address.
   */
  getRegionOfWords(words: readonly number[]): string | undefined {
    const value = this.getTable(words).lookup(words);
    return value < 0 ? undefined : this.regionNames[value];
  }

  /**
   * Adds a block or changes its region.
   * @param block - The block.
   * @throws StepError if the prefix is invalid or there are too many names.
   */
  set(block: Block): void {
    this.setPrefix(parsePrefix(block.prefix), block.region);
  }

  /**
   * Adds a parsed prefix or changes its region.
   * @param prefix - The prefix.
   * @param region - Name of the region or site.
   * @throws StepError if there are too many names.
   */
  setPrefix({words, length}: Prefix, region: string): void {
    this.getTable(words).set(words, length, this.getOrAddValue(region));
  }

  /**
   * Removes a block.
   * @param prefix - Its prefix as `IP/bits`.
   * @returns Whether the table contained it.
   * @throws StepError if the prefix is invalid.
   */
  delete(prefix: string): boolean {
    const {words, length} = parsePrefix(prefix);
    return this.getTable(words).delete(words, length);
  }

  private getTable(words: readonly number[]): PrefixTable {
    return words.length === 1 ? this.ipv4 : this.ipv6;
  }

  private getOrAddValue(name: string): number {
    let value = this.valuesByRegion.get(name);
    if (value === undefined) {
      value = this.regionNames.length;
      if (value >= MAX_REGION_NAMES) {
        throw new StepError(
          {step: Step.Lookup, peer: name},
          `blocks name more than ${MAX_REGION_NAMES} regions or sites`,
        );
      }
      this.regionNames.push(name);
      this.valuesByRegion.set(name, value);
    }
    return value;
  }
}

function* parseBlocks(blocks: Iterable<Block>): Generator<ParsedBlock> {
  for (const {prefix, region} of blocks) {
    yield {prefix: parsePrefix(prefix), region};
  }
}
