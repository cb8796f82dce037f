/** Describes a candidate endpoint at the time of a request. */
export interface Candidate {
  id: string;
  /** Zero-based position in the object's ranking. */
  rank: number;
  slots: number;
  /** Estimated number of requests that run or are queued at the endpoint. */
  depth: number;
  /** Average of the depth over some seconds; undefined if unknown. */
  averageDepth?: number;
  /** Service time of a request for a cached object, in milliseconds. */
  serviceMs: number;
  /** Whether this instance knows that the endpoint has recently handled the object. */
  isWarm: boolean;
  /**
   * Position of the request in the spread of a popular object over its endpoints, from 0 to 1;
   * undefined if the endpoint is not one of several that the object has.
   */
  spread?: number;
  /** Network round-trip time to the endpoint, in milliseconds. */
  roundTripMs: number;
  /** Fraction of recent requests to the endpoint that failed. */
  failureRatio: number;
  /** Whether a limit or a failure excludes the endpoint at present. */
  isBlocked: boolean;
}

/** The endpoint to which a request is sent, or the refusal of the request. */
export type EndpointChoice =
  | {readonly id: string; readonly finishMs: number; readonly retryAfterMs?: 0}
  /** Refusal, with the time until capacity is expected, in milliseconds. */
  | {readonly id?: undefined; readonly retryAfterMs: number};

/** Configures the choice. */
export interface ChoiceOptions {
  /** Time until the caller's deadline, in milliseconds. */
  remainingMs: number;
  /** Latency objective, in milliseconds; 0 if there is none. */
  objectiveMs: number;
  /** Maximum number of requests queued at an endpoint beyond its slots. */
  queueLimit: number;
  /**
   * Shortest latency objective of more urgent requests for which capacity is reserved, in
   * milliseconds; Infinity if there are none.
   */
  reservedObjectiveMs?: number;
  /**
   * Shortest time after which an endpoint that is no candidate takes requests again, in
   * milliseconds; Infinity if there is none.
   */
  shortestWaitMs?: number;
}

/** Factor on the service time if the object is not cached. */
const UNCACHED_FACTOR = 3.2;
/** Penalty for evicting another object from a cache, as a fraction of the service time. */
const EVICTION_PENALTY = 0.5;
/**
 * Largest difference of cost over which the requests for a popular object are spread, as a fraction
 * of the service time. Without it, all instances with the same view would choose the same one.
 */
const SPREAD_FRACTION = 0.1;
/** Penalty for an endpoint that does not rank first, as a fraction of the service time. */
const RANK_PENALTY = 0.15;
/**
 * Weight of the average wait in the choice, beyond its part of the expected finish. The average
 * shows where queues form before this instance sees one. With 3, objects moved to endpoints without
 * them too often: ruotalibera lost 0.016 of its callers in time under calm load.
 */
const AVERAGE_WAIT_WEIGHT = 1;
/**
 * Maximum fraction of the latency objective that a queued request may spend on the network and in
 * the queue. It applies to retries of callers too: longer queues for them would cause refusals of
 * new callers, whose retries would lengthen the queues until no answer is in time.
 */
const MAX_WAIT_FRACTION = 0.45;
/**
 * Requests for which a less urgent one leaves room in a queue. With one, the queue would often be
 * full of less urgent requests when a burst of urgent ones begins.
 */
const RESERVED_REQUESTS = 2;
/** Bounds of the retry delay that is given to a refused caller, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 2_000;

/**
 * Chooses the candidate with the lowest cost: its expected completion time, weighted by its
 * failure ratio, plus penalties for a cold cache and a lower rank. Under overload the request is
 * refused rather than sent to an endpoint outside the ranking, because requests for objects that
 * are not cached take several times as long and would sustain the overload.
 * @param candidates - Endpoints of the object's ranking.
 * @param options - Remaining time, latency objective and queue limit.
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
      waitMs > 0 && waitMs + candidate.roundTripMs > waitLimitMs;
    const isReserved = isCapacityReserved(candidate, options);
    if (
      excess > 0 ||
      isWaitTooLong ||
      isReserved ||
      finishMs > options.remainingMs
    ) {
      const queueDrainMs =
        (Math.max(1, excess) * serviceMs) / Math.max(1, slots);
      earliestCapacityMs = Math.min(earliestCapacityMs, queueDrainMs);
      continue;
    }
    const cost =
      (finishMs + AVERAGE_WAIT_WEIGHT * getAverageWaitMs(candidate)) *
        (1 + 2 * candidate.failureRatio) +
      (isExpectedCached(candidate) ? 0 : EVICTION_PENALTY * serviceMs) +
      getRankPenalty(candidate) * serviceMs;
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  if (best) return {id: best.id, finishMs: getFinishMs(best)};
  return {
    retryAfterMs: getRetryDelay(earliestCapacityMs, options.shortestWaitMs),
  };
}

/** Returns when to retry: once a queue is expected to be shorter, or an endpoint's wait is over. */
function getRetryDelay(capacityMs: number, waitMs = Infinity): number {
  const boundedMs = Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, capacityMs),
  );
  if (Number.isFinite(capacityMs)) return Math.min(boundedMs, waitMs);
  return Number.isFinite(waitMs) ? waitMs : MAX_RETRY_AFTER_MS / 4;
}

/**
 * Limits the queueing time rather than the completion time: a long queue makes every answer late,
 * whereas a free slot is worth using even if the object is not cached and the answer will be late.
 */
function getWaitLimit(objectiveMs: number): number {
  return objectiveMs > 0 ? objectiveMs * MAX_WAIT_FRACTION : Infinity;
}

/**
 * Returns whether a request would take the room in a queue that is reserved for more urgent ones:
 * behind it, those could not be queued or would wait too long.
 */
function isCapacityReserved(
  candidate: Candidate,
  {reservedObjectiveMs = Infinity, queueLimit}: ChoiceOptions,
): boolean {
  if (reservedObjectiveMs === Infinity) return false;
  const {depth, slots, roundTripMs} = candidate;
  const depthBehind = depth + RESERVED_REQUESTS;
  if (depthBehind - slots + 1 > queueLimit) return true;
  const waitMs = getWaitMs({...candidate, depth: depthBehind});
  return waitMs > 0 && waitMs + roundTripMs > getWaitLimit(reservedObjectiveMs);
}

/** Prefers the first endpoint, unless the object has several. */
function getRankPenalty({rank, spread}: Candidate): number {
  if (spread !== undefined) return spread * SPREAD_FRACTION;
  return rank === 0 ? 0 : RANK_PENALTY;
}

/**
 * Returns whether an object is expected to be cached: at the first endpoint, at the others that it
 * has by its demand, and where this instance knows that it was handled recently.
 * @param candidate - The endpoint.
 */
export function isExpectedCached({isWarm, rank, spread}: Candidate): boolean {
  return isWarm || rank === 0 || spread !== undefined;
}

/** Estimates the queueing time at an endpoint. */
function getWaitMs({depth, slots, serviceMs}: Candidate): number {
  const ahead = Math.max(0, depth - slots + 1);
  return (serviceMs * ahead) / Math.max(1, slots);
}

/**
 * Estimates the mean queueing time at an endpoint by its average depth: the mean of the positive
 * part of a normal variable whose variance is the average depth, as that of random arrivals. This
 * does not limit the queueing time, since an old average would then refuse requests whose endpoints
 * have become free: in the simulation, 0.77 of ruotalibera's callers were refused at overload.
 */
function getAverageWaitMs(candidate: Candidate): number {
  const {averageDepth = 0, slots, serviceMs} = candidate;
  const excess = averageDepth - slots + 1;
  // 0.64 = (2 x 0.4)^2, where 0.4 is the mean positive part of a standard normal variable.
  const ahead = (excess + Math.sqrt(excess ** 2 + 0.64 * averageDepth)) / 2;
  return averageDepth > 0
    ? (serviceMs * Math.max(0, ahead)) / Math.max(1, slots)
    : 0;
}

/** Estimates the time until an answer: round trip, queueing and service time. */
function getFinishMs(candidate: Candidate): number {
  const {serviceMs, roundTripMs} = candidate;
  const workMs =
    serviceMs * (isExpectedCached(candidate) ? 1 : UNCACHED_FACTOR);
  const waitMs = getWaitMs(candidate) + getAverageWaitMs(candidate);
  return roundTripMs + waitMs + workMs;
}
