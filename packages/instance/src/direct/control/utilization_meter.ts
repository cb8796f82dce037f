import {performance} from 'node:perf_hooks';

/** Weight of a new sample in the moving average. */
const SMOOTHING = 0.2;
/** Steps in which the utilization is stated, so that small changes are not sent. */
const STEPS = 20;

/** Measures which fraction of the time the event loop is busy. */
export class UtilizationMeter {
  private last = performance.eventLoopUtilization();
  private average = 0;

  /** Moving average of the utilization, rounded. */
  get utilization(): number {
    return Math.round(this.average * STEPS) / STEPS;
  }

  /** Adds the time since the last sample to the average. */
  sample(): void {
    const current = performance.eventLoopUtilization();
    const {utilization} = performance.eventLoopUtilization(current, this.last);
    this.last = current;
    if (!Number.isFinite(utilization)) return;
    this.average += SMOOTHING * (utilization - this.average);
  }
}
