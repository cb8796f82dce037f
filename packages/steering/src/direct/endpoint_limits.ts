/**
 * Minimum age of the last response with a rate limit before a response without one ends the limit,
 * in milliseconds. It covers the latency between regions, by which responses overtake each other.
 */
const END_MARGIN_MS = 300;

/** Time for which a changed limit is shared before others, in milliseconds. */
const SHARE_CHANGES_MS = 1_500;
/** Time for which the end of a limit is shared, in milliseconds. */
const SHARE_END_MS = 10_000;
/**
 * Assumed delay of a shared observation, in milliseconds. An instance's own observations go before
 * shared ones of the same time.
 */
const SHARING_DELAY_MS = 100;

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

/** An observation as instances share it; their monotonic clocks differ. */
export interface SharedLimit extends Omit<LimitObservation, 'observedAt'> {
  /** Age of the observation when it was sent, in milliseconds. */
  ageMs: number;
}

/** What is known of one endpoint. */
interface KnownLimit {
  observation: LimitObservation;
  /** Monotonic time at which this instance learned the limit that holds now. */
  changedAt: number;
  /** Monotonic time at which it was last shared. */
  sharedAt: number;
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
  private readonly known = new Map<string, KnownLimit>();

  /**
   * Records an observation unless a later one is known.
   * @param observation - What a response stated.
   * @param now - Monotonic time in milliseconds.
   * @returns The change of the limit, or undefined if it stays as it was.
   */
  observe(observation: LimitObservation, now: number): LimitChange | undefined {
    const {id, perSecond} = observation;
    const known = this.known.get(id);
    if (!known) {
      if (perSecond === undefined) return undefined;
      this.known.set(id, {observation, changedAt: now, sharedAt: -Infinity});
      return {observation};
    }
    const previous = known.observation;
    if (!isLater(observation, previous)) return undefined;
    known.observation = observation;
    if (previous.perSecond === perSecond) return undefined;
    known.changedAt = now;
    return {observation, previousPerSecond: previous.perSecond};
  }

  /**
   * Records observations of other instances.
   * @param shared - The observations.
   * @param now - Monotonic time in milliseconds.
   * @returns The changes of limits.
   */
  merge(shared: readonly SharedLimit[], now: number): LimitChange[] {
    const changes: LimitChange[] = [];
    for (const {ageMs, ...rest} of shared) {
      const observedAt = now - ageMs - SHARING_DELAY_MS;
      const change = this.observe({...rest, observedAt}, now);
      if (change) changes.push(change);
    }
    return changes;
  }

  /**
   * Selects observations to share: recent changes first, then the least recently shared ones.
   * @param max - Maximum number of observations.
   * @param now - Monotonic time in milliseconds.
   */
  selectShared(max: number, now: number): SharedLimit[] {
    const isRecent = ({changedAt}: KnownLimit) =>
      now - changedAt < SHARE_CHANGES_MS;
    const selected = [...this.known.values()]
      .filter(
        ({observation, changedAt}) =>
          isLimited(observation) || now - changedAt < SHARE_END_MS,
      )
      .sort(
        (a, b) =>
          Number(isRecent(b)) - Number(isRecent(a)) || a.sharedAt - b.sharedAt,
      )
      .slice(0, max);
    return selected.map(known => {
      known.sharedAt = now;
      const {observedAt, ...rest} = known.observation;
      return {...rest, ageMs: Math.round(now - observedAt)};
    });
  }

  /**
   * Returns the limit in force of an endpoint.
   * @param id - Id of the endpoint.
   * @param bornAt - Start time of its process; limits of earlier processes do not apply.
   */
  get(id: string, bornAt: number): Required<LimitObservation> | undefined {
    const observation = this.known.get(id)?.observation;
    if (!observation || observation.bornAt !== bornAt) return undefined;
    return isLimited(observation) ? observation : undefined;
  }

  /**
   * Returns the latest observation of an endpoint, which may state that the limit has ended.
   * @param id - Id of the endpoint.
   */
  getLatest(id: string): LimitObservation | undefined {
    return this.known.get(id)?.observation;
  }

  /**
   * Discards what is known of endpoints that are gone.
   * @param isKnown - Returns whether an endpoint still exists.
   * @returns Ids of the endpoints whose limits were discarded.
   */
  prune(isKnown: (id: string) => boolean): string[] {
    const gone = [...this.known.keys()].filter(id => !isKnown(id));
    for (const id of gone) this.known.delete(id);
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
