/** Describes a candidate endpoint at the time of a request. */
export interface Candidate {
  id: string;
  /** Place in the object's ranking, from 0. */
  rank: number;
  slots: number;
  /** Requests that run or wait there, estimated. */
  depth: number;
  /** Time that one request for a cached object runs there, in milliseconds. */
  serviceMs: number;
  /** Whether the endpoint has handled the object lately, as far as this instance knows. */
  isWarm: boolean;
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
  /** Time within which an answer is worth most, in milliseconds; 0 where there is none. */
  objectiveMs: number;
  /** Waiting requests that an endpoint may have beyond its slots. */
  queueLimit: number;
}

/** How much longer a request runs where its object is not cached. */
const UNCACHED_FACTOR = 3.2;
/** Part of the usual time that a choice must gain to evict another object from a cache. */
const EVICTION_PENALTY = 0.5;
/** Part of the usual time by which an endpoint of lower rank counts as slower. */
const RANK_PENALTY = 0.15;
/**
 * Part of the objective that a request may spend on travel and behind others, also where its
 * caller has come back: longer queues for those would turn new callers away, who come back in
 * turn, until nobody is served in time any more.
 */
const MAX_WAIT_FRACTION = 0.45;
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
  let earliestCapacityMs = Infinity;
  const {objectiveMs, queueLimit} = options;
  const waitLimitMs = getWaitLimit(objectiveMs);
  for (const candidate of candidates) {
    if (candidate.isBlocked) continue;
    const {depth, slots, serviceMs} = candidate;
    const excess = depth - slots + 1 - queueLimit;
    const finishMs = getFinishMs(candidate);
    const waitMs = getWaitMs(candidate);
    const isWaitTooLong =
      waitMs > 0 && waitMs + candidate.travelMs > waitLimitMs;
    if (excess > 0 || isWaitTooLong || finishMs > options.remainingMs) {
      const queueDrainMs =
        (Math.max(1, excess) * serviceMs) / Math.max(1, slots);
      earliestCapacityMs = Math.min(earliestCapacityMs, queueDrainMs);
      continue;
    }
    const cost =
      finishMs * (1 + 2 * candidate.failureRatio) +
      (isCached(candidate) ? 0 : EVICTION_PENALTY * serviceMs) +
      (candidate.rank === 0 ? 0 : RANK_PENALTY * serviceMs);
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  if (best) return {id: best.id, finishMs: getFinishMs(best)};
  const retryAfterMs = Number.isFinite(earliestCapacityMs)
    ? Math.min(
        MAX_RETRY_AFTER_MS,
        Math.max(MIN_RETRY_AFTER_MS, earliestCapacityMs),
      )
    : MAX_RETRY_AFTER_MS / 4;
  return {retryAfterMs};
}

/**
 * Bounds the wait rather than the finish: a queue that makes every answer late serves nobody in
 * time, while a free slot is used also where the object is not cached and the answer will be late.
 */
function getWaitLimit(objectiveMs: number): number {
  return objectiveMs > 0 ? objectiveMs * MAX_WAIT_FRACTION : Infinity;
}

/** Objects are expected to be cached where they rank first. */
function isCached(candidate: Candidate): boolean {
  return candidate.isWarm || candidate.rank === 0;
}

/** Estimates the time behind the requests that wait already. */
function getWaitMs({depth, slots, serviceMs}: Candidate): number {
  const ahead = Math.max(0, depth - slots + 1);
  return (serviceMs * ahead) / Math.max(1, slots);
}

/** Estimates the time until an answer: travel, the queue ahead, and the work itself. */
function getFinishMs(candidate: Candidate): number {
  const {serviceMs, travelMs} = candidate;
  const workMs = serviceMs * (isCached(candidate) ? 1 : UNCACHED_FACTOR);
  return travelMs + getWaitMs(candidate) + workMs;
}
