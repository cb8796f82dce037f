import {
  type EndpointChange,
  type EndpointEntry,
  EndpointState,
} from './endpoint_entry.js';

/** A live endpoint whose entry lapsed registers again within about two seconds of the return. */
const REREGISTRATION_MS = 2_300;
/** Part of the drain bound that a removed entry may be used for. */
const LAPSE_GRACE_FRACTION = 0.85;

/** Keeps what is known of one endpoint. */
export interface KnownEndpoint {
  readonly entry: EndpointEntry;
  readonly revision: number;
  /** Time until which the endpoint counts as cold, on the monotonic clock. */
  coldUntil: number;
  /** Time at which this instance learned the entry. */
  readonly learnedAt: number;
  /** Time at which a lapsed entry counts as gone; undefined while it is registered. */
  graceEndsAt?: number;
}

/** Says what a change did to the book. */
export enum BookEffect {
  None = 'none',
  Joined = 'joined',
  Updated = 'updated',
  Left = 'left',
  /** Removed around an outage of the registry; kept for a short time. */
  Lapsed = 'lapsed',
}

/**
 * Holds the registered endpoints as this instance knows them. The order of changes about one
 * endpoint is their revision, so that changes from the store and from peers may be mixed,
 * repeated and reordered.
 */
export class EndpointTable {
  private readonly endpoints = new Map<string, KnownEndpoint>();
  private readonly lastChanges = new Map<string, EndpointChange>();
  private readonly byService = new Map<string, KnownEndpoint[]>();
  private readonly slotsByService = new Map<string, number>();
  private readonly lapseGraceMs: number;
  private outageEndedAt = -Infinity;
  private isRegistryUnavailable = false;
  private highestRevision = 0;
  private versionCount = 0;

  /**
   * Creates an empty book.
   * @param drainMs - Time after which a leaving endpoint must get no requests, in milliseconds.
   */
  constructor(drainMs: number) {
    this.lapseGraceMs = Math.min(
      REREGISTRATION_MS,
      drainMs * LAPSE_GRACE_FRACTION,
    );
  }

  /** Highest revision of all changes applied. */
  get revision(): number {
    return this.highestRevision;
  }

  /** Rises whenever the set of usable endpoints may have changed. */
  get version(): number {
    return this.versionCount;
  }

  /** The number of endpoints that may be used. */
  get size(): number {
    return this.endpoints.size;
  }

  /**
   * Notes that the registry does not answer; the last view holds.
   */
  markRegistryAway(): void {
    this.isRegistryUnavailable = true;
  }

  /**
   * Notes that the registry answers again.
   * @param now - Monotonic time in milliseconds.
   */
  markRegistryBack(now: number): void {
    if (!this.isRegistryUnavailable) return;
    this.isRegistryUnavailable = false;
    this.outageEndedAt = now;
  }

  /**
   * Applies a change unless a later one of the same endpoint is known.
   * @param change - The change.
   * @param now - Monotonic time in milliseconds.
   * @returns What it did.
   */
  apply(change: EndpointChange, now: number): BookEffect {
    const last = this.lastChanges.get(change.id);
    if (last && last.revision >= change.revision) return BookEffect.None;
    this.lastChanges.set(change.id, change);
    this.highestRevision = Math.max(this.highestRevision, change.revision);
    this.invalidateCaches();
    const before = this.endpoints.get(change.id);
    const {entry} = change;
    if (!entry || entry.state === EndpointState.Draining) {
      if (!before) return BookEffect.None;
      if (change.isRemoved && (change.isLapse || this.isLapsePossible(now))) {
        // Others that hear of it from here must not take it for a leave either.
        this.lastChanges.set(change.id, {...change, isLapse: true});
        before.graceEndsAt = now + this.lapseGraceMs;
        return BookEffect.Lapsed;
      }
      this.endpoints.delete(change.id);
      return BookEffect.Left;
    }
    const isSameProcess = before?.entry.bornAt === entry.bornAt;
    const coldUntil = now + entry.coldLeftMs;
    this.endpoints.set(change.id, {
      entry,
      revision: change.revision,
      // An entry of the same life that is read late must not shorten a cold start.
      coldUntil:
        isSameProcess && entry.coldLeftMs > 0
          ? Math.max(before.coldUntil, coldUntil)
          : coldUntil,
      learnedAt: now,
    });
    return isSameProcess ? BookEffect.Updated : BookEffect.Joined;
  }

  /**
   * Treats every endpoint that a complete listing does not name as removed.
   * @param ids - The ids of the listing.
   * @param revision - Revision before the listing began.
   * @param now - Monotonic time in milliseconds.
   * @returns The ids that left or lapsed.
   */
  removeUnlisted(
    ids: ReadonlySet<string>,
    revision: number,
    now: number,
  ): string[] {
    const removedIds: string[] = [];
    for (const [id, {revision: knownRevision}] of [...this.endpoints]) {
      if (ids.has(id) || knownRevision > revision) continue;
      const at = Math.max(knownRevision + 0.5, revision);
      const effect = this.apply({id, revision: at, isRemoved: true}, now);
      if (effect !== BookEffect.None) removedIds.push(id);
    }
    return removedIds;
  }

  /**
   * Drops lapsed entries whose time has passed.
   * @param now - Monotonic time in milliseconds.
   * @returns The ids dropped.
   */
  expire(now: number): string[] {
    const expired: string[] = [];
    for (const [id, {graceEndsAt}] of this.endpoints) {
      if (graceEndsAt !== undefined && graceEndsAt <= now) expired.push(id);
    }
    for (const id of expired) this.endpoints.delete(id);
    if (expired.length > 0) this.invalidateCaches();
    return expired;
  }

  /**
   * Notes that an endpoint may have restarted unseen and is to be treated as cold.
   * @param id - Id of the endpoint.
   * @param until - Monotonic time in milliseconds.
   */
  extendCold(id: string, until: number): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint) endpoint.coldUntil = Math.max(endpoint.coldUntil, until);
  }

  /**
   * Returns an endpoint that may be used.
   * @param id - Its id.
   */
  get(id: string): KnownEndpoint | undefined {
    return this.endpoints.get(id);
  }

  /**
   * Returns the endpoints of a service that may be used.
   * @param service - Name of the service.
   */
  getByService(service: string): readonly KnownEndpoint[] {
    let endpoints = this.byService.get(service);
    if (!endpoints) {
      endpoints = [...this.endpoints.values()]
        .filter(({entry}) => entry.service === service)
        .sort((a, b) => (a.entry.id < b.entry.id ? -1 : 1));
      this.byService.set(service, endpoints);
    }
    return endpoints;
  }

  /**
   * Returns the slots of the endpoints of a service that may be used.
   * @param service - Name of the service.
   */
  getSlots(service: string): number {
    let slots = this.slotsByService.get(service);
    if (slots === undefined) {
      slots = 0;
      for (const {entry} of this.getByService(service)) slots += entry.slots;
      this.slotsByService.set(service, slots);
    }
    return slots;
  }

  /**
   * Returns the last change of each endpoint that is later than a revision.
   * @param revision - The revision that the reader has.
   */
  getChangesAfter(revision: number): EndpointChange[] {
    return [...this.lastChanges.values()].filter(
      change => change.revision > revision,
    );
  }

  private invalidateCaches(): void {
    this.versionCount++;
    this.byService.clear();
    this.slotsByService.clear();
  }

  private isLapsePossible(now: number): boolean {
    return (
      this.isRegistryUnavailable || now < this.outageEndedAt + this.lapseGraceMs
    );
  }
}
