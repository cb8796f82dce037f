/** Bounds the movement of a share vector. */
export interface ShiftCap {
  /** Largest movement in an interval, as total variation. */
  shiftCap: number;
  /** Length of the interval in milliseconds. */
  shiftIntervalMs: number;
}

/**
 * Limits movement by a token bucket that holds half the cap and refills by half the cap per
 * interval. Its size and its refill over an interval add up to the cap, so that the movement in any
 * interval stays within the cap.
 */
export class ShiftLimiter {
  private tokens = 0;

  /**
   * Creates an empty limiter, because the process before a restart may have used the cap.
   * @param cap - The cap in force.
   * @param refilledAtMs - Present time in milliseconds.
   */
  constructor(
    private cap: ShiftCap,
    private refilledAtMs: number,
  ) {}

  /**
   * Changes the cap; it never adds tokens.
   * @param cap - The new cap.
   * @param nowMs - Present time in milliseconds.
   */
  setCap(cap: ShiftCap, nowMs: number): void {
    this.refill(nowMs);
    this.cap = cap;
    this.tokens = Math.min(this.tokens, cap.shiftCap / 2);
  }

  /**
   * Gets the movement that is currently allowed.
   * @param nowMs - Present time in milliseconds.
   * @returns The movement as total variation.
   */
  getBudget(nowMs: number): number {
    this.refill(nowMs);
    return this.tokens;
  }

  /**
   * Takes tokens for a movement from the bucket.
   * @param movement - Total variation of the movement.
   * @param nowMs - Present time in milliseconds.
   * @returns Whether the bucket held enough tokens; it is unchanged otherwise.
   */
  take(movement: number, nowMs: number): boolean {
    this.refill(nowMs);
    if (movement > this.tokens) return false;
    this.tokens -= movement;
    return true;
  }

  private refill(nowMs: number): void {
    const {shiftCap, shiftIntervalMs} = this.cap;
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    const refill = ((shiftCap / 2) * elapsedMs) / shiftIntervalMs;
    this.tokens = Math.min(shiftCap / 2, this.tokens + refill);
    this.refilledAtMs = Math.max(this.refilledAtMs, nowMs);
  }
}
