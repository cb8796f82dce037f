import {SlidingCounter} from './sliding_counter.js';

/** Time for which a priority counts as in use after its last request, in milliseconds. */
const IN_USE_MS = 30_000;
/** Window in which offered and admitted requests are compared, in milliseconds. */
const WINDOW_MS = 5_000;
/**
 * Fraction of the mean admission rate below which a priority is exempt from reservations. It is
 * above the quarter that each priority must get, because requests that are admitted may still fail.
 */
const MIN_ADMISSION_FRACTION = 0.45;
/** Most priorities that are tracked for a service; the one that was used longest ago is discarded. */
const MAX_PRIORITIES = 16;

interface PriorityState {
  lastSeenAt: number;
  /** Shortest latency objective of its requests, in milliseconds; Infinity if none has one. */
  objectiveMs: number;
  offered: SlidingCounter;
  admitted: SlidingCounter;
}

/**
 * Tracks the requests of one service by priority. Under overload, the queues of endpoints are kept
 * short enough for the most urgent requests by refusing less urgent ones earlier, unless those would
 * get far less than their share.
 */
export class PriorityDemand {
  private readonly priorities = new Map<number, PriorityState>();

  /**
   * Counts a request that has arrived.
   * @param priority - Its priority; 0 is the most urgent.
   * @param objectiveMs - Its latency objective in milliseconds; 0 if there is none.
   * @param now - Monotonic time in milliseconds.
   */
  countOffered(priority: number, objectiveMs: number, now: number): void {
    const state = this.getState(priority, now);
    state.lastSeenAt = now;
    state.offered.add(now);
    if (objectiveMs > 0) {
      state.objectiveMs = Math.min(state.objectiveMs, objectiveMs);
    }
  }

  /**
   * Counts a request that is being sent to an endpoint.
   * @param priority - Its priority.
   * @param now - Monotonic time in milliseconds.
   */
  countAdmitted(priority: number, now: number): void {
    this.getState(priority, now).admitted.add(now);
  }

  /**
   * Returns the shortest latency objective of the requests for which a request must leave capacity.
   * @param priority - Priority of the request.
   * @param now - Monotonic time in milliseconds.
   * @returns Milliseconds; Infinity if nothing more urgent is in use, or if the requests of this
   * priority are admitted far less often than others.
   */
  getReservedObjectiveMs(priority: number, now: number): number {
    let objectiveMs = Infinity;
    for (const [other, state] of this.priorities) {
      if (other >= priority || now - state.lastSeenAt > IN_USE_MS) continue;
      objectiveMs = Math.min(objectiveMs, state.objectiveMs);
    }
    const isReserved = objectiveMs < Infinity && !this.isStarved(priority, now);
    return isReserved ? objectiveMs : Infinity;
  }

  private isStarved(priority: number, now: number): boolean {
    const own = this.priorities.get(priority);
    if (!own) return false;
    let offered = 0;
    let admitted = 0;
    for (const state of this.priorities.values()) {
      offered += state.offered.get(now);
      admitted += state.admitted.get(now);
    }
    const meanRate = admitted / Math.max(1, offered);
    const ownRate = own.admitted.get(now) / Math.max(1, own.offered.get(now));
    return ownRate < MIN_ADMISSION_FRACTION * meanRate;
  }

  private getState(priority: number, now: number): PriorityState {
    const known = this.priorities.get(priority);
    if (known) return known;
    if (this.priorities.size >= MAX_PRIORITIES) this.discardOldest();
    const state = {
      lastSeenAt: now,
      objectiveMs: Infinity,
      offered: new SlidingCounter(WINDOW_MS),
      admitted: new SlidingCounter(WINDOW_MS),
    };
    this.priorities.set(priority, state);
    return state;
  }

  private discardOldest(): void {
    let oldest: number | undefined;
    let oldestAt = Infinity;
    for (const [priority, {lastSeenAt}] of this.priorities) {
      if (lastSeenAt >= oldestAt) continue;
      oldest = priority;
      oldestAt = lastSeenAt;
    }
    if (oldest !== undefined) this.priorities.delete(oldest);
  }
}
