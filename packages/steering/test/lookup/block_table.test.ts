import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type Block, BlockTable, parsePrefix} from '../../src/index.js';

/** Few distinct bits, so that prefixes are often nested, adjacent or equal. */
const IPV4 = fc
  .tuple(fc.nat({max: 3}), fc.nat({max: 3}), fc.constantFrom(0, 128, 255))
  .map(([a, b, d]) => `10.${a}.${b}.${d}`);
const IPV6 = fc
  .tuple(
    fc.nat({max: 3}),
    fc.nat({max: 2}),
    fc.constantFrom('0', '8000', 'ffff'),
  )
  .map(([a, b, c]) => `2001:db8:${a}:${b}::${c}`);
const BLOCK: fc.Arbitrary<Block> = fc
  .tuple(
    fc.oneof(
      fc.tuple(IPV4, fc.constantFrom(0, 1, 8, 14, 15, 16, 22, 24, 25, 31, 32)),
      fc.tuple(IPV6, fc.constantFrom(0, 3, 32, 47, 48, 62, 64, 96, 113, 128)),
    ),
    fc.constantFrom('north', 'east', 'west'),
  )
  .map(([[address, bits], region]) => ({prefix: `${address}/${bits}`, region}));
const CHANGE = fc.record({block: BLOCK, isRemoval: fc.boolean()});

/** Reference implementation that compares the bit strings of all blocks. */
class NaiveTable {
  private readonly blocks = new Map<string, string>();

  set({prefix, region}: Block): void {
    this.blocks.set(toBits(prefix), region);
  }

  delete(prefix: string): boolean {
    return this.blocks.delete(toBits(prefix));
  }

  get size(): number {
    return this.blocks.size;
  }

  getRegion(address: string): string | undefined {
    const bits = toBits(
      address.includes(':') ? `${address}/128` : `${address}/32`,
    );
    for (let length = bits.length; length >= 2; length--) {
      const region = this.blocks.get(bits.slice(0, length));
      if (region) return region;
    }
    return undefined;
  }
}

function toBits(prefix: string): string {
  const {words, length} = parsePrefix(prefix);
  const bits = words.map(w => w.toString(2).padStart(32, '0')).join('');
  return `${words.length === 1 ? '4:' : '6:'}${bits.slice(0, length)}`;
}

describe('BlockTable', () => {
  it('guards against lookups that miss the longest prefix after building and changes', () => {
    fc.assert(
      fc.property(
        fc.array(BLOCK, {maxLength: 60}),
        fc.array(CHANGE, {maxLength: 60}),
        fc.array(fc.oneof(IPV4, IPV6), {minLength: 1, maxLength: 40}),
        (blocks, changes, addresses) => {
          const table = BlockTable.build(blocks);
          const naive = new NaiveTable();
          blocks.forEach(block => naive.set(block));
          const compare = () => {
            for (const address of addresses) {
              expect(table.getRegion(address)).toBe(naive.getRegion(address));
            }
          };
          compare();
          for (const {block, isRemoval} of changes) {
            if (isRemoval) {
              expect(table.delete(block.prefix)).toBe(
                naive.delete(block.prefix),
              );
            } else {
              table.set(block);
              naive.set(block);
            }
            compare();
          }
          expect(table.size).toBe(naive.size);
        },
      ),
      {seed: 3101, numRuns: 300},
    );
  });

  it('guards against losing entries when pages split and merge', () => {
    const table = BlockTable.build([{prefix: '10.0.0.0/8', region: 'all'}]);
    const naive = new NaiveTable();
    naive.set({prefix: '10.0.0.0/8', region: 'all'});
    const prefixes = Array.from({length: 6_000}, (_, i) => {
      const mixed = (i * 2_654_435_761) % 65_536;
      return `10.${mixed >> 8}.${mixed & 255}.0/24`;
    });
    prefixes.forEach((prefix, i) => {
      const block = {prefix, region: `r${i % 7}`};
      table.set(block);
      naive.set(block);
    });
    const compare = () => {
      expect(table.size).toBe(naive.size);
      for (let i = 0; i < 65_536; i += 17) {
        const address = `10.${i >> 8}.${i & 255}.9`;
        expect(table.getRegion(address)).toBe(naive.getRegion(address));
      }
    };
    compare();
    const bytes = table.byteLength;
    prefixes.slice(0, 5_900).forEach(prefix => {
      table.delete(prefix);
      naive.delete(prefix);
    });
    compare();
    expect(table.byteLength).toBeLessThan(bytes / 2);
  });

  it('guards against an IPv4-mapped IPv6 address that does not match its IPv4 block', () => {
    const table = BlockTable.build([{prefix: '10.1.0.0/16', region: 'north'}]);
    expect(table.getRegion('::ffff:10.1.2.3')).toBe('north');
    expect(table.getRegion('not an address')).toBeUndefined();
  });
});
