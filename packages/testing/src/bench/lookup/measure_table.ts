import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {BlockTable, type ParsedBlock} from '@primrosestage/steering';
import {build} from 'hdr-histogram-js';
import {createRandom, type Random} from '../create_random.js';
import {type FigureSink, GoalKind} from '../figure.js';
import {FlatTable} from './flat_table.js';
import {generateAddress, generateBlocks} from './generate_blocks.js';

const ADDRESS_COUNT = 1 << 20;
const ROUNDS = 7;
const CHANGE_COUNT = 5_000;
const MIB = 1024 * 1024;
const MEMORY_BUDGET_MIB = 64;

/**
 * Measures the block table, compared with a binary search over a flat array of the same blocks.
 * @param sink - Receives the figures.
 */
export async function measureTable(sink: FigureSink): Promise<void> {
  const random = createRandom(sink.seed);
  const blocks = [...generateBlocks(random)];
  const addresses = Array.from({length: ADDRESS_COUNT}, () => {
    const block = blocks[Math.floor(random() * blocks.length)] as ParsedBlock;
    // A fifth of the IPv4 addresses are random and may lie outside all blocks.
    return random() < 0.2 && block.prefix.words.length === 1
      ? [Math.floor(random() * 2 ** 32)]
      : generateAddress(block.prefix, random);
  });
  await collectGarbage();
  const before = process.memoryUsage();
  const beginMs = performance.now();
  const table = BlockTable.buildFromPrefixes(blocks);
  const buildMs = performance.now() - beginMs;
  await collectGarbage();
  const after = process.memoryUsage();
  const heapGrowthBytes =
    after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
  const n = table.size;
  sink.record({name: 'lookup.build', value: buildMs, unit: 'ms', n});
  sink.record({
    name: 'lookup.columns',
    value: table.byteLength / MIB,
    unit: 'MiB',
    n,
  });
  sink.record({
    name: 'lookup.memory',
    value: heapGrowthBytes / MIB,
    unit: 'MiB',
    n,
    goal: {kind: GoalKind.AtMost, bound: MEMORY_BUDGET_MIB, isRatio: false},
  });
  measureLookups(sink, table, new FlatTable(blocks), addresses);
  measureChanges(sink, table, blocks, random);
}

function measureLookups(
  sink: FigureSink,
  table: BlockTable,
  flat: FlatTable,
  addresses: readonly (readonly number[])[],
): void {
  const ipv4 = addresses.filter(words => words.length === 1);
  const words = Uint32Array.from(ipv4, ([word]) => word ?? 0);
  const all = Uint32Array.from(
    addresses.flatMap(a => (a.length === 1 ? [0, 0, 0, ...a] : a)),
  );
  let hits = 0;
  const rates = {
    flat: [] as number[],
    ipv4: [] as number[],
    all: [] as number[],
  };
  for (let round = 0; round < ROUNDS; round++) {
    rates.flat.push(
      getRate(words.length, () => {
        for (let i = 0; i < words.length; i++) {
          hits += flat.lookupWord(words[i] as number);
        }
      }),
    );
    rates.ipv4.push(
      getRate(ipv4.length, () => {
        const address = [0];
        for (let i = 0; i < words.length; i++) {
          address[0] = words[i] as number;
          if (table.getRegionOfWords(address) !== undefined) hits++;
        }
      }),
    );
    rates.all.push(
      getRate(addresses.length, () => {
        const ipv4Words = [0];
        const ipv6Words = [0, 0, 0, 0];
        for (let i = 0; i < all.length; i += 4) {
          // No generated IPv6 address begins with 0.
          const isIpv4 = all[i] === 0;
          if (isIpv4) ipv4Words[0] = all[i + 3] as number;
          else for (let w = 0; w < 4; w++) ipv6Words[w] = all[i + w] as number;
          const address = isIpv4 ? ipv4Words : ipv6Words;
          if (table.getRegionOfWords(address) !== undefined) hits++;
        }
      }),
    );
  }
  const baseline = {name: 'flat binary search', value: getMedian(rates.flat)};
  const goal = {kind: GoalKind.AtLeast, bound: 1 / 3, isRatio: true};
  sink.record({
    name: 'lookup.decisions.ipv4',
    value: getMedian(rates.ipv4),
    unit: '1/s',
    n: ipv4.length * ROUNDS,
    baseline,
    goal,
  });
  sink.record({
    name: 'lookup.decisions.mixed',
    value: getMedian(rates.all),
    unit: '1/s',
    n: addresses.length * ROUNDS,
    baseline,
    goal,
  });
  sink.record({
    name: 'lookup.decisions.slowest-round',
    value: Math.min(...rates.all),
    unit: '1/s',
    n: hits === 0 ? 0 : addresses.length,
    goal: {kind: GoalKind.AtLeast, bound: 500_000, isRatio: false},
  });
}

function measureChanges(
  sink: FigureSink,
  table: BlockTable,
  blocks: readonly ParsedBlock[],
  random: Random,
): void {
  const times = build({highestTrackableValue: 60_000_000});
  const measureUs = (change: () => void) => {
    const beginMs = performance.now();
    change();
    return (performance.now() - beginMs) * 1000;
  };
  for (let i = 0; i < CHANGE_COUNT; i++) {
    const block = blocks[Math.floor(random() * blocks.length)] as ParsedBlock;
    const words = generateAddress(block.prefix, random);
    const length = words.length === 1 ? 32 : 128;
    const region = `site-${i % 540}`;
    times.recordValue(
      Math.max(
        1,
        measureUs(() => table.setPrefix({words, length}, region)),
      ),
    );
  }
  const unit = 'us';
  for (const percentile of [50, 99, 99.9]) {
    sink.record({
      name: `lookup.change.p${percentile}`,
      value: times.getValueAtPercentile(percentile),
      unit,
      n: CHANGE_COUNT,
      goal: {kind: GoalKind.AtMost, bound: 10_000, isRatio: false},
    });
  }
  const containing = [0, 1, 2, 3].map(length =>
    measureUs(() => table.setPrefix({words: [0], length}, 'site-0')),
  );
  sink.record({
    name: 'lookup.change.block-that-contains-all',
    value: Math.max(...containing),
    unit,
    n: containing.length,
    goal: {kind: GoalKind.AtMost, bound: 10_000, isRatio: false},
  });
}

/** Collects twice, because typed arrays are freed after the collection that finds them unused. */
async function collectGarbage(): Promise<void> {
  for (let round = 0; round < 2; round++) {
    globalThis.gc?.();
    await sleep(100);
  }
}

function getRate(count: number, run: () => void): number {
  const beginMs = performance.now();
  run();
  return (count / (performance.now() - beginMs)) * 1000;
}

function getMedian(values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[values.length >> 1] ?? 0;
}
