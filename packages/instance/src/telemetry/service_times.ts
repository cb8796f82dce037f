import type {TimerService} from '@primrosestage/common';
import {build, type Histogram} from 'hdr-histogram-js';

/** The 10 s window consists of two halves; the older one is discarded every 5 s. */
const HALF_WINDOW_MS = 5_000;
/** Minimum number of samples; percentiles of fewer samples are not meaningful. */
const MIN_SAMPLES = 20;
const MICROSECONDS_PER_MS = 1_000;
const MAX_MICROSECONDS = 120_000_000;

/** Percentiles of a service's recent service times; 0 if there are too few samples. */
export interface Percentiles {
  readonly medianMs: number;
  readonly p95Ms: number;
}

/** Records the service times of the last 10 s for each service. */
export class ServiceTimes {
  private readonly services = new Map<string, ServiceWindow>();

  constructor(private readonly timers: TimerService) {}

  /**
   * Records the service time of a completed request.
   * @param key - Key of the service.
   * @param durationMs - Service time in milliseconds.
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
  private recordedSinceCached = 0;

  constructor(private startedAt: number) {}

  rotate(now: number): void {
    const elapsedMs = now - this.startedAt;
    if (elapsedMs < HALF_WINDOW_MS) return;
    const reused = this.previous;
    this.previous = this.current;
    reused.reset();
    this.current = reused;
    if (elapsedMs >= 2 * HALF_WINDOW_MS) this.previous.reset();
    this.startedAt = now;
    this.cached = undefined;
  }

  record(durationMs: number): void {
    this.current.recordValue(
      Math.min(
        MAX_MICROSECONDS,
        Math.max(1, Math.round(durationMs * MICROSECONDS_PER_MS)),
      ),
    );
    // Percentiles are cached: they are read at every admission, and reading costs far more than
    // recording.
    this.recordedSinceCached++;
    if (this.recordedSinceCached >= MIN_SAMPLES) this.cached = undefined;
  }

  getPercentiles(): Percentiles {
    if (this.cached) return this.cached;
    this.recordedSinceCached = 0;
    const merged = createHistogram();
    merged.add(this.previous);
    merged.add(this.current);
    const getMs = (percentile: number) =>
      merged.totalCount < MIN_SAMPLES
        ? 0
        : merged.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    this.cached = {medianMs: getMs(50), p95Ms: getMs(95)};
    return this.cached;
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
    autoResize: false,
  });
}
