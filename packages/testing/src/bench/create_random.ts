import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Gives a number of at least 0 and below 1. */
export type Random = () => number;

/**
 * Creates a seeded source of random numbers.
 * @param seed - The seed.
 * @returns The source.
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
