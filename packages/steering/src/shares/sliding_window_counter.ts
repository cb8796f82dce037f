/** Buckets per window; the count covers the window and at most one more bucket. */
const BUCKETS = 20;

/** Counts events in a sliding window of time. */
export class SlidingWindowCounter {
  private readonly counts = new Array<number>(BUCKETS + 1).fill(0);
  private bucketIndex = 0;
  private sum = 0;

  constructor(private windowMs: number) {}

  /**
   * Changes the length of the window; the count is reset if it differs.
   * @param windowMs - Length in milliseconds.
   */
  setWindow(windowMs: number): void {
    if (windowMs === this.windowMs) return;
    this.windowMs = windowMs;
    this.counts.fill(0);
    this.sum = 0;
    this.bucketIndex = 0;
  }

  /**
   * Adds events.
   * @param nowMs - Present time in milliseconds.
   * @param amount - Number of events.
   */
  add(nowMs: number, amount = 1): void {
    this.expire(nowMs);
    const bucket = this.bucketIndex % this.counts.length;
    this.counts[bucket] = (this.counts[bucket] ?? 0) + amount;
    this.sum += amount;
  }

  /** Gets the number of events in the window that ends at the given time. */
  get(nowMs: number): number {
    this.expire(nowMs);
    return this.sum;
  }

  private expire(nowMs: number): void {
    const index = Math.floor((nowMs / this.windowMs) * BUCKETS);
    if (index <= this.bucketIndex) return;
    const steps = Math.min(index - this.bucketIndex, this.counts.length);
    for (let step = 0; step < steps; step++) {
      const bucket = (index - step) % this.counts.length;
      this.sum -= this.counts[bucket] ?? 0;
      this.counts[bucket] = 0;
    }
    this.bucketIndex = index;
  }
}
