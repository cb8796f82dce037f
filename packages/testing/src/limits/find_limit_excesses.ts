/** Window in which requests are counted, in milliseconds. */
const WINDOW_MS = 4_000;
/** Multiple of the limit that an endpoint tolerates in a window, and the requests beyond it. */
const TOLERANCE = 1.5;
const SLACK = 5;

/** Limit that an endpoint states in all its responses during a period. */
export interface StatedLimit {
  /** Requests per second from all instances together. */
  perSecond: number;
  /** Monotonic time of the first response that states it, in milliseconds. */
  from: number;
  /** Monotonic time from which responses state another limit or none, in milliseconds. */
  to: number;
}

/** A window in which an endpoint received more requests than it tolerates. */
export interface LimitExcess {
  /** Monotonic time of the start of the window, in milliseconds. */
  at: number;
  perSecond: number;
  requests: number;
  allowed: number;
}

/**
 * Finds windows in which an endpoint received more requests than its stated limit allows, summed
 * over all instances.
 * @param arrivals - Monotonic times at which the endpoint received requests, in milliseconds.
 * @param limits - The limits that it stated.
 * @param settleMs - Time after the first statement from which requests count, in milliseconds.
 * @returns The window with the most requests of each limit that was exceeded.
 */
export function findLimitExcesses(
  arrivals: readonly number[],
  limits: readonly StatedLimit[],
  settleMs: number,
): LimitExcess[] {
  const excesses: LimitExcess[] = [];
  for (const {perSecond, from, to} of limits) {
    const counted = arrivals
      .filter(at => at >= from + settleMs && at < to)
      .sort((a, b) => a - b);
    const {at, requests} = findBusiestWindow(counted);
    const allowed = (TOLERANCE * perSecond * WINDOW_MS) / 1_000 + SLACK;
    if (requests > allowed) excesses.push({at, perSecond, requests, allowed});
  }
  return excesses;
}

function findBusiestWindow(sorted: readonly number[]) {
  let first = 0;
  let busiest = {at: 0, requests: 0};
  sorted.forEach((end, last) => {
    while (end - (sorted[first] as number) >= WINDOW_MS) first++;
    const requests = last - first + 1;
    if (requests > busiest.requests) {
      busiest = {at: sorted[first] as number, requests};
    }
  });
  return busiest;
}
