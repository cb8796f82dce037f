/** Candidate factors by which a region prefers its own endpoints, strongest first. */
const PREFERENCES = [1_000, 30, 12, 8, 6, 4.5, 3.5, 2.7, 2, 1.5, 1];

/** Capacity and demand of one region for a service. */
export interface RegionSupply {
  region: string;
  /** Total slots of the usable endpoints. */
  slots: number;
  /** Number of slots occupied by requests of the region's callers. */
  demand: number;
}

/**
 * Chooses the strongest preference for a region's own endpoints that keeps the utilization of
 * every region within a limit, or else the one with the lowest peak utilization. All regions use
 * the same preference, so that every instance computes the same result from the same input.
 * @param supplies - Capacity and demand by region.
 * @param maxUtilization - Maximum fraction of a region's slots that may be busy.
 * @returns Factor on the weights of a region's own endpoints.
 */
export function chooseRegionPreference(
  supplies: readonly RegionSupply[],
  maxUtilization: number,
): number {
  let best = 1;
  let bestPeak = Infinity;
  for (const preference of PREFERENCES) {
    const peak = getPeakUtilization(supplies, preference);
    if (peak <= maxUtilization) return preference;
    if (peak < bestPeak) {
      bestPeak = peak;
      best = preference;
    }
  }
  return best;
}

function getPeakUtilization(
  supplies: readonly RegionSupply[],
  preference: number,
): number {
  const busy = new Map<string, number>();
  for (const source of supplies) {
    const weights = supplies.map(({region, slots}) =>
      region === source.region ? slots * preference : slots,
    );
    const sum = weights.reduce((a, b) => a + b, 0);
    if (sum <= 0) continue;
    supplies.forEach(({region}, i) => {
      const assigned = (source.demand * (weights[i] ?? 0)) / sum;
      busy.set(region, (busy.get(region) ?? 0) + assigned);
    });
  }
  let peak = 0;
  for (const {region, slots} of supplies) {
    const load = busy.get(region) ?? 0;
    if (load > 0) peak = Math.max(peak, slots > 0 ? load / slots : Infinity);
  }
  return peak;
}
