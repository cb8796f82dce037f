/** Half-life of a report in the average, in milliseconds. */
const HALF_LIFE_MS = 5_000;
/** Half-life of the average without reports, in milliseconds. */
const FORGET_HALF_LIFE_MS = 20_000;
/** Smallest weight of a new report. */
const MIN_WEIGHT = 0.1;

/**
 * Averages the number of requests at an endpoint over its reports of some seconds. Where many
 * instances send few requests each, the last report is mostly too old to show the present queue,
 * while the average still shows how long queues are there.
 */
export class AverageLoad {
  private depth = 0;
  private reportedAt = -Infinity;

  /**
   * Records a report.
   * @param depth - Number of requests that run or are queued at the endpoint.
   * @param now - Monotonic time in milliseconds.
   */
  observe(depth: number, now: number): void {
    const age = Math.max(0, now - this.reportedAt);
    const weight = Math.max(MIN_WEIGHT, 1 - 0.5 ** (age / HALF_LIFE_MS));
    this.depth += weight * (depth - this.depth);
    this.reportedAt = now;
  }

  /**
   * Returns the average.
   * @param now - Monotonic time in milliseconds.
   */
  get(now: number): number {
    const age = Math.max(0, now - this.reportedAt);
    return this.depth * 0.5 ** (age / FORGET_HALF_LIFE_MS);
  }
}
