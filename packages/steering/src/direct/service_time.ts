import {updateRobustAverage} from './robust_average.js';

/** Weight of a new sample in the average once there are many. */
const MIN_WEIGHT = 0.05;

/**
 * Interval at which a request is sent although no endpoint is expected to finish it in time, in
 * milliseconds.
 */
const TRIAL_INTERVAL_MS = 1_000;

/** Tracks the service time over all endpoints of a service, with little effect of slow responses. */
export class ServiceTime {
  private averageMs = 0;
  private sampleCount = 0;
  private triedAt = -Infinity;

  /** The average in milliseconds; undefined before the first sample. */
  get value(): number | undefined {
    return this.sampleCount > 0 ? this.averageMs : undefined;
  }

  /**
   * Records a service time.
   * @param serviceMs - Service time without network latency and queueing, in milliseconds.
   */
  observe(serviceMs: number): void {
    this.sampleCount++;
    // The first samples have equal weights, since the first one alone may be a slow response.
    const weight = Math.max(MIN_WEIGHT, 1 / this.sampleCount);
    this.averageMs =
      this.sampleCount === 1
        ? serviceMs
        : updateRobustAverage(this.averageMs, serviceMs, weight);
  }

  /**
   * Returns whether a request may be sent to an endpoint that is not expected to finish it in time.
   * Without such trials, a service that was slow for a time would get no requests any more, and
   * therefore would not be measured again.
   * @param now - Monotonic time in milliseconds.
   */
  tryStartTrial(now: number): boolean {
    if (now - this.triedAt < TRIAL_INTERVAL_MS) return false;
    this.triedAt = now;
    return true;
  }

  /**
   * Returns whether a response for an object that may not have been cached shows a shorter service
   * time all the same.
   * @param serviceMs - The time that the response took, in milliseconds.
   */
  isFarBelowAverage(serviceMs: number): boolean {
    return serviceMs < this.averageMs / 2;
  }
}
