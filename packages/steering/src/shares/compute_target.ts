import type {RegionMeasurement} from './region_measurement.js';
import {normalizeShares, type ShareVector} from './share_vector.js';

/**
 * Fraction of a region's spare slots that one update of the target may fill. Several source
 * regions see the same spare slots, so that filling all of them would overshoot.
 */
const SPARE_FILL_FRACTION = 0.5;

/**
 * Minimum difference of free fractions for which traffic moves to a region beyond its baseline.
 * Random variation causes smaller differences between equally loaded regions, and every move costs
 * the latency of the link.
 */
const MIN_FREE_DIFFERENCE = 0.15;

/** Holds the inputs of a target computation. */
export interface ComputeTargetOptions {
  /** The vector in force. */
  current: ShareVector;
  /** Weights of the preset in force; the sum is 1. */
  baseline: ShareVector;
  /** Measurements by region index. */
  measurements: readonly RegionMeasurement[];
  /** Fraction of a region's slots that is kept free. */
  headroom: number;
  /** Mean number of slots that the traffic of the source region keeps busy. */
  demandSlots: number;
  /** Maximum age of a measurement that is used, in milliseconds. */
  maxMeasurementAgeMs: number;
}

/**
 * Computes the target of a share vector: the baseline without drained and failed regions, with
 * traffic that would use a region's headroom moved to the regions with spare slots.
 * @param options - Current vector, baseline, measurements and demand.
 * @returns The target; the current vector if no region can be used.
 */
export function computeTarget(options: ComputeTargetOptions): ShareVector {
  const {current, measurements} = options;
  const usableBaseline = getUsableBaseline(options);
  if (!usableBaseline) return current;
  const limits = measurements.map((measurement, i) =>
    getWeightLimit(measurement, i, options),
  );
  const target = usableBaseline.map((weight, i) =>
    Math.min(weight, limits[i] ?? 0),
  );
  const excess = 1 - target.reduce((sum, weight) => sum + weight, 0);
  if (excess <= 1e-12) return target;
  const spareWeights = target.map((weight, i) => {
    const limit = limits[i] ?? 0;
    return Math.max(0, Math.min(limit, 1) - weight);
  });
  const totalSpareWeight = spareWeights.reduce(
    (sum, weight) => sum + weight,
    0,
  );
  const moved = Math.min(excess, totalSpareWeight);
  return target.map((weight, i) => {
    const share =
      totalSpareWeight > 0
        ? (moved * (spareWeights[i] ?? 0)) / totalSpareWeight
        : 0;
    return weight + share + (excess - moved) * (usableBaseline[i] ?? 0);
  });
}

function getUsableBaseline(
  options: ComputeTargetOptions,
): ShareVector | undefined {
  const {baseline, measurements} = options;
  const isUsable = (i: number) => {
    const measurement = measurements[i];
    return !!measurement && !measurement.isDrained && !measurement.isFailed;
  };
  return (
    normalizeShares(baseline.map((w, i) => (isUsable(i) ? w : 0))) ??
    normalizeShares(measurements.map((m, i) => (isUsable(i) ? m.slots : 0)))
  );
}

function getWeightLimit(
  measurement: RegionMeasurement,
  region: number,
  options: ComputeTargetOptions,
): number {
  const {current, baseline, headroom, demandSlots, maxMeasurementAgeMs} =
    options;
  const {slots, freeSlots, ageMs, isDrained, isFailed} = measurement;
  const weight = current[region] ?? 0;
  if (isDrained || isFailed || slots === 0) return 0;
  if (ageMs > maxMeasurementAgeMs) return 1;
  const spareSlots = freeSlots - headroom * slots;
  if (spareSlots < 0) {
    const used = Math.max(slots - freeSlots, 1e-9);
    return weight * Math.max(0, 1 + spareSlots / used);
  }
  if (demandSlots <= 0) return 1;
  const excessFreeFraction =
    freeSlots / slots - getLowestFreeFraction(options) - MIN_FREE_DIFFERENCE;
  const overflowSlots = Math.max(
    0,
    Math.min(spareSlots, excessFreeFraction * slots),
  );
  const getLimitFor = (fillableSlots: number) =>
    weight + (SPARE_FILL_FRACTION * fillableSlots) / demandSlots;
  return Math.max(
    Math.min(baseline[region] ?? 0, getLimitFor(spareSlots)),
    getLimitFor(overflowSlots),
  );
}

/**
 * Gets the lowest free fraction of the regions with traffic and fresh measurements. A drained or
 * failed one among them cancels the minimum difference.
 */
function getLowestFreeFraction(options: ComputeTargetOptions): number {
  return options.measurements.reduce((lowest, measurement, i) => {
    const {slots, freeSlots, ageMs, isDrained, isFailed} = measurement;
    const takesTraffic = (options.current[i] ?? 0) > 0;
    if (!takesTraffic || ageMs > options.maxMeasurementAgeMs) return lowest;
    if (isDrained || isFailed || slots === 0) return -MIN_FREE_DIFFERENCE;
    return Math.min(lowest, freeSlots / slots);
  }, 1);
}
