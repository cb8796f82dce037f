import {SeededRandom} from '../random/index.js';

/** Returns a number in [0, 1). */
export type Random = () => number;

/**
 * Creates a seeded source of random numbers.
 * @param seed - The seed.
 * @returns The source.
 */
export function createRandom(seed: number): Random {
  const random = new SeededRandom(seed);
  return () => random.float();
}
