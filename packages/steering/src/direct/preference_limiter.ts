import {type ShiftCap, ShiftLimiter} from '../shares/shift_limiter.js';

/** Describes the slots of a service as one region sees them. */
export interface RegionSlots {
  /** Slots of the region's own endpoints. */
  own: number;
  /** Slots of the endpoints of all other regions. */
  other: number;
}

/**
 * Moves a region's preference for its own endpoints towards its target no faster than the shift
 * cap allows. A change of demand would otherwise move a large part of a region's requests at once
 * to endpoints that have not cached their objects.
 */
export class PreferenceLimiter {
  private readonly limiter: ShiftLimiter;
  private preference?: number;
  private slots?: RegionSlots;

  /**
   * Creates the limiter of one service.
   * @param cap - The shift cap.
   * @param now - Monotonic time in milliseconds.
   */
  constructor(cap: ShiftCap, now: number) {
    this.limiter = new ShiftLimiter(cap, now);
  }

  /**
   * Moves the preference towards its target.
   * @param target - The preference that the demand asks for, 1 or more.
   * @param slots - Slots of the service now. Where they have changed the target is taken at once:
   *     keeping requests at a region that has lost endpoints would overload it.
   * @param now - Monotonic time in milliseconds.
   * @returns The preference to use now.
   */
  move(target: number, slots: RegionSlots, now: number): number {
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

/** Returns the part of a region's requests that its own endpoints are preferred for. */
function getOwnShare(preference: number, {own, other}: RegionSlots): number {
  return (preference * own) / (preference * own + other);
}
