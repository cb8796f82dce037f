import {SeededRandom} from '../random/index.js';

/** Gives a number of at least 0 and below 1. */
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
