import {computeTarget} from './compute_target.js';
import type {RegionMeasurement} from './region_measurement.js';
import {
  getTotalVariation,
  moveTowards,
  restrictIncreases,
  type ShareVector,
} from './share_vector.js';
import {type ShiftCap, ShiftLimiter} from './shift_limiter.js';
import {ShiftWindow} from './shift_window.js';
import {SlidingWindowCounter} from './sliding_window_counter.js';

/** Age above which a measurement does not allow a share to increase, in milliseconds. */
export const MAX_MEASUREMENT_AGE_MS = 3_000;

/** Holds the inputs of an update of the shares of one service and source region. */
export interface ShareUpdate {
  baseline: ShareVector;
  measurements: readonly RegionMeasurement[];
  headroom: number;
  demandSlots: number;
  cap: ShiftCap;
}

/** Holds the shares of one service and source region at one instance. */
export class ShareState {
  private current: ShareVector;
  private target: ShareVector;
  /** Movement that the shift cap deferred at the last update. */
  private pendingMovement = 0;
  private readonly credits: number[];
  private readonly limiter: ShiftLimiter;
  private readonly window: ShiftWindow;
  private readonly requests: SlidingWindowCounter;
  private readonly spills: SlidingWindowCounter;

  /**
   * Starts from the vector of a peer, or from the baseline if no peer answered.
   * @param start - The first vector.
   * @param cap - The cap in force.
   * @param nowMs - Present time in milliseconds.
   */
  constructor(
    start: ShareVector,
    private cap: ShiftCap,
    nowMs: number,
  ) {
    this.current = start;
    this.target = start;
    this.credits = start.map(() => 0);
    this.limiter = new ShiftLimiter(cap, nowMs);
    this.window = new ShiftWindow(start, nowMs);
    this.requests = new SlidingWindowCounter(cap.shiftIntervalMs);
    this.spills = new SlidingWindowCounter(cap.shiftIntervalMs);
  }

  /** The vector in force. */
  get vector(): ShareVector {
    return this.current;
  }

  /** The target of the shares, before increases without fresh measurements are blocked. */
  get targetVector(): ShareVector {
    return this.target;
  }

  /**
   * Moves the vector towards its target as far as the cap and fresh measurements allow.
   * @param update - Baseline, measurements and cap.
   * @param nowMs - Present time in milliseconds.
   */
  update(update: ShareUpdate, nowMs: number): void {
    this.setCap(update.cap, nowMs);
    this.target = computeTarget({
      current: this.current,
      baseline: update.baseline,
      measurements: update.measurements,
      headroom: update.headroom,
      demandSlots: update.demandSlots,
      maxMeasurementAgeMs: MAX_MEASUREMENT_AGE_MS,
    });
    const allowed = restrictIncreases(this.current, this.target, i => {
      const measurement = update.measurements[i];
      return !!measurement && measurement.ageMs <= MAX_MEASUREMENT_AGE_MS;
    });
    const budget = this.limiter.getBudget(nowMs);
    const next = moveTowards(this.current, allowed, budget);
    const movement = getTotalVariation(this.current, next);
    this.pendingMovement = getTotalVariation(next, allowed);
    if (movement === 0) return;
    this.limiter.take(Math.min(movement, budget), nowMs);
    this.current = next;
    this.window.record(next, nowMs);
  }

  /**
   * Selects the region of a new request by smooth weighted round robin. With constant shares, the
   * count of a region differs from its share of the requests by less than the number of regions.
   * @param nowMs - Present time in milliseconds.
   * @returns Index of the region.
   */
  selectRegion(nowMs: number): number {
    this.requests.add(nowMs);
    let best = 0;
    for (let i = 0; i < this.credits.length; i++) {
      this.credits[i] = (this.credits[i] ?? 0) + (this.current[i] ?? 0);
      const isBetter = (this.credits[i] ?? 0) > (this.credits[best] ?? 0);
      if ((this.current[i] ?? 0) > 0 && (isBetter || !this.current[best])) {
        best = i;
      }
    }
    this.credits[best] = (this.credits[best] ?? 0) - 1;
    return best;
  }

  /**
   * Charges a spill, one request sent to another region than the selected one, to the shift cap.
   * Movement of the vector takes precedence, because it moves all later requests and a spill only
   * one.
   * @param nowMs - Present time in milliseconds.
   * @returns Whether the cap allows it.
   */
  trySpill(nowMs: number): boolean {
    const requests = this.requests.get(nowMs);
    if (requests === 0) return false;
    const {shiftCap, shiftIntervalMs} = this.cap;
    const moved = this.window.getLargestShift(shiftIntervalMs, nowMs);
    const spilled = (this.spills.get(nowMs) + 1) / requests;
    if (moved + spilled > shiftCap) return false;
    const budget = this.limiter.getBudget(nowMs) - this.pendingMovement;
    if (budget < 1 / requests) return false;
    this.limiter.take(1 / requests, nowMs);
    this.spills.add(nowMs);
    return true;
  }

  /**
   * Measures the movement in the last interval, or since the last change of the cap, for the
   * invariant `shift_under_cap`.
   * @param nowMs - Present time in milliseconds.
   * @returns The largest total variation between the current vector and a vector of that time.
   */
  getShift(nowMs: number): number {
    return this.window.getLargestShift(this.cap.shiftIntervalMs, nowMs);
  }

  /**
   * Gets the number of requests of the last interval.
   * @param nowMs - Present time in milliseconds.
   */
  getRequestCount(nowMs: number): number {
    return this.requests.get(nowMs);
  }

  /**
   * Gets the fraction of the last interval's requests that spilled to another region.
   * @param nowMs - Present time in milliseconds.
   */
  getSpilledFraction(nowMs: number): number {
    const requests = this.requests.get(nowMs);
    return requests > 0 ? this.spills.get(nowMs) / requests : 0;
  }

  private setCap(cap: ShiftCap, nowMs: number): void {
    const {shiftCap, shiftIntervalMs} = this.cap;
    const isSame =
      cap.shiftCap === shiftCap && cap.shiftIntervalMs === shiftIntervalMs;
    if (isSame) return;
    this.cap = cap;
    this.limiter.setCap(cap, nowMs);
    this.window.reset(nowMs);
    this.requests.setWindow(cap.shiftIntervalMs);
    this.spills.setWindow(cap.shiftIntervalMs);
  }
}
