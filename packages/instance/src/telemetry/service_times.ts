import type {TimerService} from '@primrosestage/common';
import {build, type Histogram} from 'hdr-histogram-js';

/** Two halves make up the last 10 s; the older one is dropped every 5 s. */
const HALF_MS = 5_000;
/** Fewer values say nothing about a percentile. */
const MIN_COUNT = 20;
const MICROSECONDS_PER_MS = 1_000;
const LONGEST_MICROSECONDS = 120_000_000;

/** Holds percentiles of a service's recent times; 0 where too few are known. */
export interface Percentiles {
  readonly medianMs: number;
  readonly p95Ms: number;
}

/** Records the service times of the last 10 s, per service. */
export class ServiceTimes {
  private readonly services = new Map<string, ServiceWindow>();

  constructor(private readonly timers: TimerService) {}

  /**
   * Records the time of an answered request.
   * @param key - Key of the service.
   * @param durationMs - Its time in milliseconds.
   */
  record(key: string, durationMs: number): void {
    let window = this.services.get(key);
    if (!window) {
      window = new ServiceWindow(this.timers.now());
      this.services.set(key, window);
    }
    window.rotate(this.timers.now());
    window.record(durationMs);
  }

  /** Gets the percentiles of a service. */
  getPercentiles(key: string): Percentiles {
    const window = this.services.get(key);
    if (!window) return {medianMs: 0, p95Ms: 0};
    window.rotate(this.timers.now());
    return window.getPercentiles();
  }
}

class ServiceWindow {
  private current = createHistogram();
  private previous = createHistogram();
  private cached?: Percentiles;
  private recordedSinceCache = 0;

  constructor(private beganAt: number) {}

  rotate(now: number): void {
    const elapsedMs = now - this.beganAt;
    if (elapsedMs < HALF_MS) return;
    const old = this.previous;
    this.previous = this.current;
    old.reset();
    this.current = old;
    if (elapsedMs >= 2 * HALF_MS) this.previous.reset();
    this.beganAt = now;
    this.cached = undefined;
  }

  record(durationMs: number): void {
    this.current.recordValue(
      Math.min(
        LONGEST_MICROSECONDS,
        Math.max(1, Math.round(durationMs * MICROSECONDS_PER_MS)),
      ),
    );
    // Percentiles are read at every admission; reading them costs far more than recording.
    this.recordedSinceCache++;
    if (this.recordedSinceCache >= MIN_COUNT) this.cached = undefined;
  }

  getPercentiles(): Percentiles {
    if (this.cached) return this.cached;
    this.recordedSinceCache = 0;
    const sum = createHistogram();
    sum.add(this.previous);
    sum.add(this.current);
    const getMs = (percentile: number) =>
      sum.totalCount < MIN_COUNT
        ? 0
        : sum.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    this.cached = {medianMs: getMs(50), p95Ms: getMs(95)};
    return this.cached;
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
    autoResize: false,
  });
}
