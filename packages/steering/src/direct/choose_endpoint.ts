/** Describes a candidate endpoint at the time of a request. */
export interface Candidate {
  id: string;
  /** Place in the object's ranking, from 0. */
  rank: number;
  slots: number;
  /** Requests that run or wait there, estimated. */
  depth: number;
  /** Time that one request runs there, in milliseconds. */
  serviceMs: number;
  /** Time of travel to the endpoint and back, in milliseconds. */
  travelMs: number;
  /** Part of recent requests that failed there. */
  failureRatio: number;
  /** Whether a bound or a failure forbids another request now. */
  isBlocked: boolean;
}

/** Says whether and where a request is sent. */
export type EndpointChoice =
  | {readonly id: string; readonly finishMs: number; readonly retryAfterMs?: 0}
  /** Refused; the time after which room is expected. */
  | {readonly id?: undefined; readonly retryAfterMs: number};

/** Configures the choice. */
export interface ChoiceOptions {
  /** Time until the caller's deadline, in milliseconds. */
  remainingMs: number;
  /** Waiting requests that an endpoint may have beyond its slots. */
  queueLimit: number;
}

/**
 * Part of the time of a request by which an endpoint of lower rank counts as slower: there the
 * object is not in the cache, and handling it evicts another one.
 */
const COLD_OBJECT_FACTOR = 2.5;
/** Shortest and longest time after which a refused caller is asked to return, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 2_000;

/**
 * Chooses the endpoint with the earliest expected finish among the few of an object. Under
 * overload the request is refused rather than sent to an endpoint outside the ranking: work on
 * objects that are not cached takes several times as long, and sustains the overload.
 * @param candidates - The endpoints of the object's ranking.
 * @param options - Time left and queue bound.
 */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  options: ChoiceOptions,
): EndpointChoice {
  let best: Candidate | undefined;
  let bestCost = Infinity;
  let roomInMs = Infinity;
  for (const candidate of candidates) {
    if (candidate.isBlocked) continue;
    const {depth, slots, serviceMs} = candidate;
    const excess = depth - slots + 1 - options.queueLimit;
    const finishMs = getFinishMs(candidate);
    if (excess > 0 || finishMs > options.remainingMs) {
      const drainMs = (Math.max(1, excess) * serviceMs) / Math.max(1, slots);
      roomInMs = Math.min(roomInMs, drainMs);
      continue;
    }
    const cost =
      finishMs * (1 + 2 * candidate.failureRatio) +
      (candidate.rank === 0 ? 0 : COLD_OBJECT_FACTOR * serviceMs);
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  if (best) return {id: best.id, finishMs: getFinishMs(best)};
  const retryAfterMs = Number.isFinite(roomInMs)
    ? Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, roomInMs))
    : MAX_RETRY_AFTER_MS / 4;
  return {retryAfterMs};
}

/** Estimates the time until an answer: travel, the queue ahead, and the work itself. */
function getFinishMs(candidate: Candidate): number {
  const {depth, slots, serviceMs, travelMs} = candidate;
  const ahead = Math.max(0, depth - slots + 1);
  return travelMs + serviceMs * (1 + ahead / Math.max(1, slots));
}
