import {getTotalVariation, type ShareVector} from './share_vector.js';

interface Entry {
  vector: ShareVector;
  /** Time from which the vector is in force, in milliseconds. */
  startedAtMs: number;
}

/** Records the vectors of a window and measures the traffic shift independently of the limiter. */
export class ShiftWindow {
  private entries: Entry[] = [];

  constructor(vector: ShareVector, nowMs: number) {
    this.entries.push({vector, startedAtMs: nowMs});
  }

  /**
   * Records a vector that comes into force.
   * @param vector - The vector.
   * @param nowMs - Present time in milliseconds.
   */
  record(vector: ShareVector, nowMs: number): void {
    this.entries.push({vector, startedAtMs: nowMs});
  }

  /**
   * Discards all vectors but the current one after a change of the cap.
   * @param nowMs - Present time in milliseconds.
   */
  reset(nowMs: number): void {
    const vector = this.entries.at(-1)?.vector ?? [];
    this.entries = [{vector, startedAtMs: nowMs}];
  }

  /**
   * Gets the largest distance of the current vector from one that was in force in the window.
   * @param windowMs - Length of the window in milliseconds.
   * @param nowMs - Present time in milliseconds.
   * @returns The distance as total variation.
   */
  getLargestShift(windowMs: number, nowMs: number): number {
    const windowStartMs = nowMs - windowMs;
    while (
      this.entries.length > 1 &&
      (this.entries[1]?.startedAtMs ?? Infinity) <= windowStartMs
    ) {
      this.entries.shift();
    }
    const currentVector = this.entries.at(-1)?.vector ?? [];
    return this.entries.reduce(
      (largest, {vector}) =>
        Math.max(largest, getTotalVariation(vector, currentVector)),
      0,
    );
  }
}
