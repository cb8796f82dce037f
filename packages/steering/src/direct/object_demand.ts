/** Half-life of the request count of an object, in milliseconds. */
const HALF_LIFE_MS = 10_000;
/**
 * Fraction of an endpoint's slots that an object may fill, on each of its endpoints, before it gets a
 * further one. It is far below 1 because an endpoint has other objects too, and because the further
 * endpoint has to handle the object before it is needed.
 */
const ADD_ABOVE = 0.2;
/** Fraction below which it loses the last one again; random arrivals alone vary it by a fifth. */
const REMOVE_BELOW = 0.12;
/**
 * Most endpoints of an object. More would let each object take more room in caches, of which the
 * smallest hold 10 objects, and endpoints have 2 to 13 objects of their own.
 */
const MAX_ENDPOINTS = 3;

/** Demand for one object as one instance measures it. */
interface DemandState {
  /** Number of requests, with exponentially decaying weights. */
  count: number;
  countedAt: number;
  endpointCount: number;
}

/** What relates the requests at one instance to the slots that they fill in a region. */
export interface DemandScale {
  /** Number of instances of the region to which callers are directed. */
  instances: number;
  /** Service time of a request for a cached object, in milliseconds. */
  serviceMs: number;
  /** Slots of an endpoint. */
  slots: number;
}

/**
 * Decides how many endpoints an object has by the demand for it. Every instance of a region
 * estimates the demand as its own requests times the number of instances, and the ranking is the
 * same everywhere, so that they agree without messages. The two thresholds keep instances with
 * slightly different estimates, and one instance over time, from changing their minds often.
 */
export class ObjectDemand {
  private readonly states = new Map<string, DemandState>();
  private popularCount = 0;

  /**
   * Creates the demand of the objects of a service.
   * @param maxObjects - Maximum number of tracked objects; the one without requests for the longest
   *     time is forgotten first.
   */
  constructor(private readonly maxObjects: number) {}

  /** Number of tracked objects with more than one endpoint. */
  get popularObjectCount(): number {
    return this.popularCount;
  }

  /**
   * Counts a request.
   * @param object - Key of the object.
   * @param scale - Instances, service time and slots.
   * @param now - Monotonic time in milliseconds.
   */
  count(object: string, scale: DemandScale, now: number): void {
    const state = this.states.get(object) ?? {
      count: 0,
      countedAt: now,
      endpointCount: 1,
    };
    this.states.delete(object);
    this.states.set(object, state);
    const age = now - state.countedAt;
    state.count = state.count * 0.5 ** (age / HALF_LIFE_MS) + 1;
    state.countedAt = now;
    const previous = state.endpointCount;
    state.endpointCount = adjust(previous, getFill(state.count, scale));
    this.popularCount += Number(state.endpointCount > 1) - Number(previous > 1);
    this.forgetOldest();
  }

  /**
   * Returns the number of endpoints of an object, at least 1.
   * @param object - Key of the object.
   */
  getEndpointCount(object: string): number {
    return this.states.get(object)?.endpointCount ?? 1;
  }

  private forgetOldest(): void {
    if (this.states.size <= this.maxObjects) return;
    const [oldest] = this.states;
    if (!oldest) return;
    this.states.delete(oldest[0]);
    if (oldest[1].endpointCount > 1) this.popularCount--;
  }
}

/** Returns the demand in endpoints that it would fill. */
function getFill(count: number, scale: DemandScale): number {
  const perMs = (count * Math.LN2) / HALF_LIFE_MS;
  const {instances, serviceMs, slots} = scale;
  return (perMs * instances * serviceMs) / Math.max(1, slots);
}

function adjust(endpointCount: number, fill: number): number {
  let count = endpointCount;
  while (count < MAX_ENDPOINTS && fill > ADD_ABOVE * count) count++;
  while (count > 1 && fill < REMOVE_BELOW * (count - 1)) count--;
  return count;
}
