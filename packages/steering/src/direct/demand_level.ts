/** Utilization of a service's slots that placement assumes while demand is low. */
const LOW_DEMAND_UTILIZATION = 0.3;
/** Utilization that placement assumes otherwise. */
const NORMAL_DEMAND_UTILIZATION = 0.6;
/** Hysteresis: demand becomes low below the first utilization and stops above the second. */
const LOW_DEMAND_BELOW = 0.22;
const NORMAL_DEMAND_ABOVE = 0.35;
/** Time for which utilization must stay below the lower threshold, in milliseconds. */
const LOW_DEMAND_HOLD_MS = 3_000;

/**
 * Classifies the utilization of a service into two levels with hysteresis. Placement depends on
 * the level only, so that instances with slightly different measurements place objects alike.
 */
export class DemandLevel {
  private isLow = false;
  private lowSince = Infinity;

  /** Utilization that placement assumes. */
  get plannedUtilization(): number {
    return this.isLow ? LOW_DEMAND_UTILIZATION : NORMAL_DEMAND_UTILIZATION;
  }

  /**
   * Updates the level from a measurement.
   * @param utilization - Fraction of the slots that are busy.
   * @param now - Monotonic time in milliseconds.
   * @returns Whether the planned utilization changed.
   */
  update(utilization: number, now: number): boolean {
    const wasLow = this.isLow;
    if (utilization > NORMAL_DEMAND_ABOVE) this.isLow = false;
    if (utilization >= LOW_DEMAND_BELOW) this.lowSince = Infinity;
    else if (this.lowSince === Infinity) this.lowSince = now;
    if (now - this.lowSince >= LOW_DEMAND_HOLD_MS) this.isLow = true;
    return this.isLow !== wasLow;
  }
}
