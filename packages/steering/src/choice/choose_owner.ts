import type {OwnerLoads} from './owner_loads.js';

/**
 * Minimum free fraction of a near owner's slots for which it is preferred to a farther one. Below
 * it, the estimate of its free slots is too uncertain, and queueing there costs more than the
 * latency to another zone.
 */
const MIN_NEAR_FREE_FRACTION = 0.25;

/** Orders owners by distance from this instance. */
export enum Locality {
  Self = 0,
  Zone = 1,
  Region = 2,
}

/** Describes an owner that a request may be sent to. */
export interface OwnerCandidate {
  /** Id of the instance. */
  id: string;
  /** Key of the instance and the service in `OwnerLoads`. */
  loadKey: string;
  /** Slots of the service's endpoints that it owns and that are not drained. */
  slots: number;
  locality: Locality;
}

/** Configures a choice. */
export interface ChooseOwnerOptions {
  loads: OwnerLoads;
  /** Instances that were tried before. */
  tried: ReadonlySet<string>;
  /** Returns a random number of at least 0 and below 1. */
  random(): number;
  nowMs: number;
}

/**
 * Chooses the owner of a request: the nearest one with enough free slots, at equal distance the one
 * with the highest free fraction. If no owner has a free slot, it chooses the one with the shortest
 * queue per slot.
 * @param candidates - Owners that may be used.
 * @param options - Loads, instances tried and time.
 * @returns The owner, or undefined if all were tried or have no slots.
 */
export function chooseOwner(
  candidates: readonly OwnerCandidate[],
  options: ChooseOwnerOptions,
): OwnerCandidate | undefined {
  const {loads, tried, nowMs} = options;
  let best: OwnerCandidate | undefined;
  let bestScore = -Infinity;
  let ties = 0;
  for (const candidate of candidates) {
    if (tried.has(candidate.id) || candidate.slots <= 0) continue;
    const free = loads.estimateFreeSlots(
      candidate.loadKey,
      candidate.slots,
      nowMs,
    );
    const score = getScore(candidate, free);
    if (score > bestScore) {
      best = candidate;
      bestScore = score;
      ties = 1;
    } else if (score === bestScore) {
      ties++;
      // Ties are broken at random, so that instances do not all choose the same owner.
      if (options.random() * ties < 1) best = candidate;
    }
  }
  return best;
}

function getScore({slots, locality}: OwnerCandidate, free: number): number {
  if (free < 1) return (free - 1) / slots;
  const hasAmpleSlots = free / slots >= MIN_NEAR_FREE_FRACTION;
  const preference = hasAmpleSlots ? Locality.Region - locality : 0;
  return 1 + 2 * preference + free / slots;
}
