import {type ShiftCap, ShiftLimiter} from '../shares/shift_limiter.js';

/** Slots of a service from the perspective of one region. */
export interface RegionSlots {
  /** Slots of the region's own endpoints. */
  own: number;
  /** Slots of the endpoints of all other regions. */
  other: number;
}

/**
 * Moves a region's preference for its own endpoints towards a target at a rate limited by the
 * shift cap. Without the limit, a change of demand would move a large share of a region's requests
 * at once to endpoints that have not cached their objects.
 */
export class PreferenceLimiter {
  private readonly limiter: ShiftLimiter;
  private preference?: number;
  private slots?: RegionSlots;

  /**
   * Creates the limiter of one service.
   * @param cap - Maximum shift per interval.
   * @param now - Monotonic time in milliseconds.
   */
  constructor(cap: ShiftCap, now: number) {
    this.limiter = new ShiftLimiter(cap, now);
  }

  /**
   * Moves the preference towards its target.
   * @param target - Preference for the present demand, at least 1.
   * @param slots - Present slots of the service. If they have changed, the target applies at once,
   *     because keeping requests at a region that has lost endpoints would overload it.
   * @param now - Monotonic time in milliseconds.
   * @returns The preference in force.
   */
  moveTowards(target: number, slots: RegionSlots, now: number): number {
    const isSupplyChanged =
      slots.own !== this.slots?.own || slots.other !== this.slots.other;
    this.slots = slots;
    const isUncapped = isSupplyChanged || slots.own <= 0 || slots.other <= 0;
    if (this.preference === undefined || isUncapped) {
      this.preference = target;
      return target;
    }
    const share = getOwnShare(this.preference, slots);
    const wantedShift = getOwnShare(target, slots) - share;
    const shift = Math.min(Math.abs(wantedShift), this.limiter.getBudget(now));
    this.limiter.take(shift, now);
    if (shift === Math.abs(wantedShift)) {
      this.preference = target;
    } else {
      const next = share + Math.sign(wantedShift) * shift;
      this.preference = (next * slots.other) / ((1 - next) * slots.own);
    }
    return this.preference;
  }
}

/** Returns the share of a region's requests that goes to its own endpoints. */
function getOwnShare(preference: number, {own, other}: RegionSlots): number {
  return (preference * own) / (preference * own + other);
}
