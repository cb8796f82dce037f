/**
 * Minimum age of the last response with a rate limit before a response without one ends the limit,
 * in milliseconds. It covers the latency between regions, by which responses overtake each other.
 */
const END_MARGIN_MS = 300;

/** Rate limit of an endpoint as a response of that endpoint stated it. */
export interface LimitObservation {
  /** Id of the endpoint. */
  id: string;
  /** Start time of the endpoint's process, which tells its restarts apart. */
  bornAt: number;
  /** Requests per second from all instances together; undefined if the response stated no limit. */
  perSecond?: number;
  /** Monotonic time at which the response arrived, in milliseconds. */
  observedAt: number;
  /** Id of the instance at which the response arrived. */
  from: string;
}

/** A limit that began, changed or ended. */
export interface LimitChange {
  readonly observation: LimitObservation;
  /** The limit before; undefined if there was none. */
  readonly previousPerSecond?: number;
}

/**
 * Holds the latest known rate limit of each endpoint that has stated one. Observations may arrive
 * from several instances, repeated and in any order.
 */
export class EndpointLimits {
  private readonly latest = new Map<string, LimitObservation>();

  /**
   * Records an observation unless a later one is known.
   * @param observation - What a response stated.
   * @returns The change of the limit, or undefined if it stays as it was.
   */
  observe(observation: LimitObservation): LimitChange | undefined {
    const {id, perSecond} = observation;
    const known = this.latest.get(id);
    if (!known && perSecond === undefined) return undefined;
    if (known && !isLater(observation, known)) return undefined;
    this.latest.set(id, observation);
    if (known?.perSecond === perSecond) return undefined;
    return {observation, previousPerSecond: known?.perSecond};
  }

  /**
   * Returns the limit in force of an endpoint.
   * @param id - Id of the endpoint.
   * @param bornAt - Start time of its process; limits of earlier processes do not apply.
   */
  get(id: string, bornAt: number): Required<LimitObservation> | undefined {
    const known = this.latest.get(id);
    if (!known || known.bornAt !== bornAt || !isLimited(known))
      return undefined;
    return known;
  }

  /**
   * Discards what is known of endpoints that are gone.
   * @param isKnown - Returns whether an endpoint still exists.
   * @returns Ids of the endpoints whose limits were discarded.
   */
  prune(isKnown: (id: string) => boolean): string[] {
    const gone = [...this.latest.keys()].filter(id => !isKnown(id));
    for (const id of gone) this.latest.delete(id);
    return gone;
  }
}

/**
 * Parses the rate limit in a response.
 * @param text - Value of the header.
 * @returns Requests per second, or undefined unless the text is a decimal number.
 */
export function parseRateLimit(text: string): number | undefined {
  if (!/^\d+(\.\d+)?$/.test(text.trim())) return undefined;
  const perSecond = Number(text);
  return Number.isFinite(perSecond) ? perSecond : undefined;
}

function isLimited(
  observation: LimitObservation,
): observation is Required<LimitObservation> {
  return observation.perSecond !== undefined;
}

/** A limit takes effect at once, whereas its end must be clearly later than the last statement. */
function isLater(observation: LimitObservation, known: LimitObservation) {
  if (observation.bornAt !== known.bornAt) {
    return observation.bornAt > known.bornAt;
  }
  const isEnd = !isLimited(observation) && isLimited(known);
  const marginMs = isEnd ? END_MARGIN_MS : 0;
  return observation.observedAt > known.observedAt + marginMs;
}
