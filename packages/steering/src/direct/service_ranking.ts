import {combineToFraction, hash32} from './hash_fraction.js';

/** Endpoint on which objects may be placed. */
export interface PlacedEndpoint {
  id: string;
  slots: number;
  /** Whether the endpoint is in the region of this instance. */
  isOwn: boolean;
}

interface HashedEndpoint extends PlacedEndpoint {
  hash: number;
}

interface ScoredEndpoint {
  id: string;
  /** Score of the endpoint for the object, without a preference for a region. */
  score: number;
}

interface ObjectRanking {
  hash: number;
  /** Best endpoints of the own region and of all others, best first. */
  own: ScoredEndpoint[];
  other: ScoredEndpoint[];
  /** Preference for which `ids` was computed; NaN if it is outdated. */
  preference: number;
  ids: string[];
}

/** Options for the rankings of a service. */
export interface ServiceRankingOptions {
  /** Maximum number of endpoints in a ranking. */
  depth: number;
  /** Maximum number of cached rankings; the oldest is evicted first. */
  maxObjects: number;
}

/**
 * Ranks the endpoints of one service for objects by weighted rendezvous hashing and caches the
 * rankings. A new endpoint costs one score per cached object, a removed or changed one evicts the
 * rankings that contain it, and a change of the preference for the own region merges two lists.
 */
export class ServiceRanking {
  private readonly endpoints = new Map<string, HashedEndpoint>();
  private readonly objects = new Map<string, ObjectRanking>();

  /**
   * Creates rankings without endpoints.
   * @param options - Length and maximum number of the rankings.
   */
  constructor(private readonly options: ServiceRankingOptions) {}

  /**
   * Replaces the endpoints.
   * @param endpoints - All usable endpoints of the service.
   */
  update(endpoints: readonly PlacedEndpoint[]): void {
    const ids = new Set<string>();
    const added: HashedEndpoint[] = [];
    const removed = new Set<string>();
    for (const endpoint of endpoints) {
      ids.add(endpoint.id);
      const known = this.endpoints.get(endpoint.id);
      if (known && isSame(known, endpoint)) continue;
      if (known) removed.add(endpoint.id);
      const hashed = {...endpoint, hash: known?.hash ?? hash32(endpoint.id)};
      this.endpoints.set(endpoint.id, hashed);
      if (endpoint.slots > 0) added.push(hashed);
    }
    for (const id of this.endpoints.keys()) {
      if (ids.has(id)) continue;
      this.endpoints.delete(id);
      removed.add(id);
    }
    if (removed.size > 0) this.dropRankingsOf(removed);
    if (added.length > 0) this.insertEndpoints(added);
  }

  /**
   * Ranks the endpoints for an object.
   * @param object - Key of the object, including its service.
   * @param preference - Factor on the weights of the own region's endpoints.
   * @returns Ids, best first.
   */
  rank(object: string, preference: number): string[] {
    let ranking = this.objects.get(object);
    if (!ranking) {
      ranking = this.createRanking(object);
      this.objects.set(object, ranking);
      this.limitObjects();
    }
    if (ranking.preference !== preference) {
      ranking.preference = preference;
      ranking.ids = mergeRankings(ranking, preference, this.options.depth);
    }
    return ranking.ids;
  }

  private createRanking(object: string): ObjectRanking {
    const ranking: ObjectRanking = {
      hash: hash32(object),
      own: [],
      other: [],
      preference: NaN,
      ids: [],
    };
    for (const endpoint of this.endpoints.values()) {
      if (endpoint.slots > 0) this.insertIntoRanking(ranking, endpoint);
    }
    return ranking;
  }

  private insertEndpoints(added: readonly HashedEndpoint[]): void {
    for (const ranking of this.objects.values()) {
      for (const endpoint of added) this.insertIntoRanking(ranking, endpoint);
    }
  }

  private insertIntoRanking(
    ranking: ObjectRanking,
    endpoint: HashedEndpoint,
  ): void {
    const list = endpoint.isOwn ? ranking.own : ranking.other;
    const fraction = combineToFraction(ranking.hash, endpoint.hash);
    const score = -endpoint.slots / Math.log(fraction);
    const isFull = list.length >= this.options.depth;
    if (isFull && score <= (list.at(-1)?.score ?? -Infinity)) return;
    let index = list.length;
    while (index > 0 && score > (list[index - 1]?.score ?? Infinity)) index--;
    list.splice(index, 0, {id: endpoint.id, score});
    if (list.length > this.options.depth) list.pop();
    ranking.preference = NaN;
  }

  /** Evicts rankings with a removed endpoint, because its successor in them is not known. */
  private dropRankingsOf(removed: ReadonlySet<string>): void {
    for (const [object, {own, other}] of this.objects) {
      const isRemoved = ({id}: ScoredEndpoint) => removed.has(id);
      if (own.some(isRemoved) || other.some(isRemoved))
        this.objects.delete(object);
    }
  }

  private limitObjects(): void {
    if (this.objects.size <= this.options.maxObjects) return;
    const [oldest] = this.objects.keys();
    if (oldest !== undefined) this.objects.delete(oldest);
  }
}

function isSame(a: PlacedEndpoint, b: PlacedEndpoint): boolean {
  return a.slots === b.slots && a.isOwn === b.isOwn;
}

function mergeRankings(
  {own, other}: ObjectRanking,
  preference: number,
  depth: number,
): string[] {
  const ids: string[] = [];
  let ownIndex = 0;
  let otherIndex = 0;
  while (ids.length < depth) {
    const near = own[ownIndex];
    const far = other[otherIndex];
    if (!near && !far) break;
    if (near && (!far || near.score * preference >= far.score)) {
      ids.push(near.id);
      ownIndex++;
    } else if (far) {
      ids.push(far.id);
      otherIndex++;
    }
  }
  return ids;
}
