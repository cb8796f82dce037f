/** Half-life of a stated factor, in milliseconds. Endpoints change it many times a second. */
const HALF_LIFE_MS = 250;
/** Weight of a new statement in the moving average. */
const SMOOTHING = 0.1;
/** Bounds of a factor. A wrong statement must neither exclude an endpoint nor attract all requests. */
const MIN_FACTOR = 0.1;
const MAX_FACTOR = 20;

/**
 * Tracks by which factor work takes longer than usual on one endpoint, as the endpoint states it.
 * The effect of a statement decays to the average of all statements, so that an endpoint that is
 * slow all the time is not taken for a fast one between two responses.
 */
export class WorkFactor {
  private stated = 1;
  private average = 1;
  private statedAt = -Infinity;

  /**
   * Records a statement.
   * @param factor - Duration of work as a multiple of the usual duration.
   * @param now - Monotonic time in milliseconds.
   */
  observe(factor: number, now: number): void {
    this.stated = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    this.average += SMOOTHING * (this.stated - this.average);
    this.statedAt = now;
  }

  /**
   * Returns the expected factor; 1 if the endpoint never stated one.
   * @param now - Monotonic time in milliseconds.
   */
  get(now: number): number {
    const age = Math.max(0, now - this.statedAt);
    const weight = 0.5 ** (age / HALF_LIFE_MS);
    return this.average + (this.stated - this.average) * weight;
  }
}
