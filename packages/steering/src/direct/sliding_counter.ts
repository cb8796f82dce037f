/** Number of buckets in a window; a count is accurate to one bucket. */
const BUCKETS = 10;

/** Counts events in a sliding window; may overcount by up to one bucket. */
export class SlidingCounter {
  private readonly buckets = new Array<number>(BUCKETS + 1).fill(0);
  private readonly epochs = new Array<number>(BUCKETS + 1).fill(-1);

  /**
   * Creates a counter.
   * @param windowMs - Length of the window in milliseconds.
   */
  constructor(private readonly windowMs: number) {}

  /**
   * Counts events.
   * @param now - Monotonic time in milliseconds.
   * @param count - Number of events to add.
   */
  add(now: number, count = 1): void {
    const epoch = this.getEpoch(now);
    const index = epoch % this.buckets.length;
    if (this.epochs[index] !== epoch) {
      this.epochs[index] = epoch;
      this.buckets[index] = 0;
    }
    this.buckets[index] = (this.buckets[index] ?? 0) + count;
  }

  /**
   * Returns the number of events in the window that ends now.
   * @param now - Monotonic time in milliseconds.
   */
  get(now: number): number {
    const oldest = this.getEpoch(now) - BUCKETS;
    let sum = 0;
    for (let i = 0; i < this.buckets.length; i++) {
      if ((this.epochs[i] ?? -1) >= oldest) sum += this.buckets[i] ?? 0;
    }
    return sum;
  }

  private getEpoch(now: number): number {
    return Math.floor((now / this.windowMs) * BUCKETS);
  }
}
