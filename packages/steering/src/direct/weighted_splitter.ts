import type {RouteTarget} from './route.js';

/** Excess of a target's share over its weight above which requests go to another target. */
const MAX_DEVIATION = 0.03;
/** Number of counted requests at which all counts are halved. */
const HALVE_AFTER_REQUESTS = 200;

/**
 * Divides the requests of one route among its targets by weight. Requests for an object go to the
 * same target, where it is cached, unless the shares deviate from the weights.
 */
export class WeightedSplitter {
  private counts: number[];
  private total = 0;

  /**
   * Creates the splitter of a route.
   * @param targets - Targets with their weights.
   */
  constructor(private readonly targets: readonly RouteTarget[]) {
    this.counts = targets.map(() => 0);
  }

  /**
   * Chooses the target of a request and counts the request.
   * @param fraction - Hash of the object or the request, in [0, 1).
   * @returns Name of the target service; undefined if no target has a positive weight.
   */
  choose(fraction: number): string | undefined {
    const weights = this.targets.map(({weight}) => Math.max(0, weight));
    const sum = weights.reduce((a, b) => a + b, 0);
    if (sum <= 0) return undefined;
    let index = weights.findIndex(weight => weight > 0);
    let remaining = fraction * sum;
    for (let i = 0; i < weights.length; i++) {
      const weight = weights[i] ?? 0;
      if (remaining < weight) {
        index = i;
        break;
      }
      remaining -= weight;
    }
    const excess = this.getShare(index) - (weights[index] ?? 0) / sum;
    if (this.total >= 10 && excess > MAX_DEVIATION) {
      index = this.getMostUnderserved(weights, sum);
    }
    this.count(index);
    return this.targets[index]?.service;
  }

  private getMostUnderserved(weights: readonly number[], sum: number): number {
    let best = 0;
    let bestDeficit = -Infinity;
    weights.forEach((weight, i) => {
      const deficit = weight / sum - this.getShare(i);
      if (weight > 0 && deficit > bestDeficit) {
        best = i;
        bestDeficit = deficit;
      }
    });
    return best;
  }

  private getShare(index: number): number {
    return this.total === 0 ? 0 : (this.counts[index] ?? 0) / this.total;
  }

  private count(index: number): void {
    this.counts[index] = (this.counts[index] ?? 0) + 1;
    this.total++;
    if (this.total < HALVE_AFTER_REQUESTS) return;
    this.counts = this.counts.map(count => count / 2);
    this.total /= 2;
  }
}
