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
import {SlidingCount} from './sliding_count.js';

/** Age above which a measurement allows no rise, in milliseconds. */
export const FRESH_FOR_MS = 3_000;

/** Lists what moves the shares of one service and source region. */
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
  /** Movement that the cap withheld at the last update. */
  private pendingMovement = 0;
  private readonly credits: number[];
  private readonly limiter: ShiftLimiter;
  private readonly window: ShiftWindow;
  private readonly requests: SlidingCount;
  private readonly spills: SlidingCount;

  /**
   * Starts from the vector of a peer, or from the baseline where no peer answered.
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
    this.requests = new SlidingCount(cap.shiftIntervalMs);
    this.spills = new SlidingCount(cap.shiftIntervalMs);
  }

  /** The vector in force. */
  get vector(): ShareVector {
    return this.current;
  }

  /** The vector that the shares move towards, before regions without measurements are held. */
  get wanted(): ShareVector {
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
      maxMeasurementAgeMs: FRESH_FOR_MS,
    });
    const allowed = restrictIncreases(this.current, this.target, i => {
      const measurement = update.measurements[i];
      return !!measurement && measurement.ageMs <= FRESH_FOR_MS;
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
   * Selects the region of a new request, so that counts follow the shares to within a request.
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
   * Draws one request that leaves the region selected for it from the cap. Movement of the vector
   * comes first: it moves all later requests too, where a spill moves one.
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
   * Measures the movement of the last interval, or since the cap last changed, for the invariant
   * `shift_under_cap`.
   * @param nowMs - Present time in milliseconds.
   * @returns The largest distance from a vector of that time, as total variation.
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
   * Gets the fraction of the last interval's requests that left the region selected for them.
   * @param nowMs - Present time in milliseconds.
   */
  getSpilled(nowMs: number): number {
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
