/** Utilization of all slots of a service that placement plans for while demand is low. */
const LOW_DEMAND_UTILIZATION = 0.3;
/** The same otherwise. */
const NORMAL_DEMAND_UTILIZATION = 0.6;
/** Utilization below which demand counts as low, and above which it no longer does. */
const LOW_DEMAND_BELOW = 0.22;
const NORMAL_DEMAND_ABOVE = 0.35;
/** Time for which utilization must stay low, in milliseconds. */
const LOW_DEMAND_HOLD_MS = 3_000;

/**
 * Follows the utilization of a service in two steps. Placement depends on the step only, so that
 * small differences between the views of instances do not place objects differently.
 */
export class DemandLevel {
  private isLow = false;
  private lowSince = Infinity;

  /** Utilization that placement plans for. */
  get plannedUtilization(): number {
    return this.isLow ? LOW_DEMAND_UTILIZATION : NORMAL_DEMAND_UTILIZATION;
  }

  /**
   * Takes over a measurement.
   * @param utilization - Part of the slots that is busy.
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
