/** Utilization of all slots of a service that placement plans for while demand is low. */
const LOW_PLAN = 0.3;
/** The same otherwise. */
const HIGH_PLAN = 0.6;
/** Utilization below which demand counts as low, and above which it no longer does. */
const LOW_BELOW = 0.22;
const HIGH_ABOVE = 0.35;
/** Time for which utilization must stay low, in milliseconds. */
const LOW_FOR_MS = 3_000;

/**
 * Follows the utilization of a service in two steps. Placement depends on the step only, so that
 * small differences between the views of instances do not place objects differently.
 */
export class DemandLevel {
  private isLow = false;
  private lowSince = Infinity;

  /** Utilization that placement plans for. */
  get plannedUtilization(): number {
    return this.isLow ? LOW_PLAN : HIGH_PLAN;
  }

  /**
   * Takes over a measurement.
   * @param utilization - Part of the slots that is busy.
   * @param now - Monotonic time in milliseconds.
   * @returns Whether the planned utilization changed.
   */
  update(utilization: number, now: number): boolean {
    const wasLow = this.isLow;
    if (utilization > HIGH_ABOVE) this.isLow = false;
    if (utilization >= LOW_BELOW) this.lowSince = Infinity;
    else if (this.lowSince === Infinity) this.lowSince = now;
    if (now - this.lowSince >= LOW_FOR_MS) this.isLow = true;
    return this.isLow !== wasLow;
  }
}
