import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Maximum value of a heavy-tailed draw, as a multiple of the median. */
const MAX_TAIL_FACTOR = 30;

/** Draws reproducible random values from a seed. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Draws a number in [0, 1). */
  float(): number {
    return uniformFloat64(this.generator);
  }

  /** Draws a whole number in [min, max]. */
  int(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.float() < probability;
  }

  /** Draws an element of a non-empty list. */
  pick<T>(list: readonly T[]): T {
    return list[this.int(0, list.length - 1)] as T;
  }

  /** Draws distinct elements of a list; all of them if the list has no more than `count`. */
  sample<T>(list: readonly T[], count: number): T[] {
    const remaining = [...list];
    const drawn: T[] = [];
    while (drawn.length < count && remaining.length > 0) {
      drawn.push(...remaining.splice(this.int(0, remaining.length - 1), 1));
    }
    return drawn;
  }

  /**
   * Draws from a Pareto distribution with exponent 1.5.
   * @param median - Median of the distribution.
   * @returns The value, at most 30 times the median.
   */
  heavyTail(median: number): number {
    const factor = Math.pow(2 * (1 - this.float()), -1 / 1.5);
    return median * Math.min(factor, MAX_TAIL_FACTOR);
  }
}
