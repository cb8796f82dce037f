/** Holds the traffic weights over the regions, in the order of the topology; the sum is 1. */
export type ShareVector = readonly number[];

/** Weights below this are rounding errors and count as 0. */
const ROUNDING_TOLERANCE = 1e-12;

/**
 * Scales weights to the sum 1.
 * @param weights - Weights of at least 0.
 * @returns The vector, or undefined if all weights are 0.
 */
export function normalizeShares(
  weights: readonly number[],
): ShareVector | undefined {
  const sum = weights.reduce((total, weight) => total + weight, 0);
  if (!(sum > 0)) return undefined;
  return weights.map(weight => weight / sum);
}

/**
 * Gets the fraction of traffic that moves between two vectors.
 * @param from - A vector.
 * @param to - A vector over the same regions.
 * @returns The total variation, half the L1 distance.
 */
export function getTotalVariation(from: ShareVector, to: ShareVector): number {
  let distance = 0;
  for (let i = 0; i < from.length; i++) {
    distance += Math.abs((from[i] ?? 0) - (to[i] ?? 0));
  }
  return distance / 2;
}

/**
 * Moves a vector in a straight line towards a target.
 * @param from - The current vector.
 * @param target - The vector to move towards.
 * @param budget - Largest movement, as total variation.
 * @returns The moved vector; the target itself if the budget suffices.
 */
export function moveTowards(
  from: ShareVector,
  target: ShareVector,
  budget: number,
): ShareVector {
  const distance = getTotalVariation(from, target);
  if (distance <= budget) return target;
  const step = Math.max(0, budget) / distance;
  return from.map((weight, i) => weight + step * ((target[i] ?? 0) - weight));
}

/**
 * Removes the increases of regions that must not increase from a target.
 * @param from - The current vector.
 * @param target - The vector to restrict.
 * @param mayIncrease - Tells by region index whether its weight may increase.
 * @returns The target, with decreases scaled down to the remaining increases.
 */
export function restrictIncreases(
  from: ShareVector,
  target: ShareVector,
  mayIncrease: (region: number) => boolean,
): ShareVector {
  let totalIncrease = 0;
  let totalDecrease = 0;
  const changes = from.map((weight, i) => {
    const change = (target[i] ?? 0) - weight;
    if (change > 0 && !mayIncrease(i)) return 0;
    if (change > 0) totalIncrease += change;
    else totalDecrease -= change;
    return change;
  });
  const scale =
    totalDecrease > 0 ? Math.min(1, totalIncrease / totalDecrease) : 0;
  return from.map((weight, i) => {
    const change = changes[i] ?? 0;
    const next = weight + (change < 0 ? change * scale : change);
    return next < ROUNDING_TOLERANCE ? 0 : next;
  });
}
