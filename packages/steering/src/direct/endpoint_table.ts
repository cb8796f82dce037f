import {
  type EndpointChange,
  type EndpointEntry,
  EndpointState,
} from './endpoint_entry.js';
import {ProcessHistory, Standing} from './process_history.js';
import {getLapseGraceMs, RegistryOutage} from './registry_outage.js';
import {getEra} from './revision.js';

/** An endpoint that this instance knows. */
export interface KnownEndpoint {
  readonly entry: EndpointEntry;
  readonly revision: number;
  /** Monotonic time until which the endpoint is treated as cold, in milliseconds. */
  coldUntil: number;
  /** Monotonic time at which this instance received the entry, in milliseconds. */
  readonly learnedAt: number;
  /** Monotonic time at which a lapsed entry is removed; undefined while it is registered. */
  graceEndsAt?: number;
}

/** Effect of a change on the table. */
export enum EndpointEffect {
  None = 'none',
  Joined = 'joined',
  Updated = 'updated',
  Left = 'left',
  /** Removed during or just after a registry outage; kept for a grace period. */
  Lapsed = 'lapsed',
}

/**
 * Holds the registered endpoints that this instance knows. Changes of one endpoint are ordered by
 * revision, so that those from the store and from peers may arrive interleaved, repeated or
 * reordered.
 */
export class EndpointTable {
  private readonly endpoints = new Map<string, KnownEndpoint>();
  private readonly lastChanges = new Map<string, EndpointChange>();
  /** Changes that replace what the registry's older copy shows, by endpoint. */
  private readonly corrections = new Map<string, EndpointChange>();
  private readonly processes = new ProcessHistory();
  private readonly byService = new Map<string, KnownEndpoint[]>();
  private readonly slotsByService = new Map<string, number>();
  private readonly lapseGraceMs: number;
  private readonly outage: RegistryOutage;
  private nextExpiry = Infinity;
  private highestRevision = 0;
  private versionCount = 0;

  /**
   * Creates an empty table.
   * @param drainMs - Time after which a leaving endpoint must get no requests, in milliseconds.
   */
  constructor(drainMs: number) {
    this.lapseGraceMs = getLapseGraceMs(drainMs);
    this.outage = new RegistryOutage(drainMs);
  }

  /** Highest revision of all applied changes. */
  get revision(): number {
    return this.highestRevision;
  }

  /** Counter that increases whenever the set of usable endpoints may have changed. */
  get version(): number {
    return this.versionCount;
  }

  /** Monotonic time in milliseconds of the next end of a grace period; Infinity if there is none. */
  get nextExpiryAt(): number {
    return this.nextExpiry;
  }

  /** Number of usable endpoints. */
  get size(): number {
    return this.endpoints.size;
  }

  /**
   * Records that the registry does not answer. The last known endpoints stay in use.
   */
  markRegistryUnavailable(): void {
    this.outage.begin();
  }

  /**
   * Records that the registry answers again.
   * @param now - Monotonic time in milliseconds.
   */
  markRegistryAvailable(now: number): void {
    this.outage.end(now);
  }

  /**
   * Applies a change unless the same or a later one of the endpoint is known.
   * @param change - Change of one endpoint.
   * @param now - Monotonic time in milliseconds.
   * @param isFromRegistry - Whether this instance has read the change itself. Only then can an
   * outage that it has seen explain a removal; other instances mark lapses themselves.
   * @returns The effect on the table.
   */
  apply(
    change: EndpointChange,
    now: number,
    isFromRegistry = false,
  ): EndpointEffect {
    const last = this.lastChanges.get(change.id);
    if (last && last.revision >= change.revision) {
      return isFromRegistry
        ? this.refuteLapse(last, change, now)
        : EndpointEffect.None;
    }
    const standing = this.processes.judge(change);
    if (standing !== Standing.Current) {
      return this.correct(change, standing, now);
    }
    this.corrections.delete(change.id);
    this.record(change);
    const before = this.endpoints.get(change.id);
    const {entry} = change;
    if (!entry || entry.state === EndpointState.Draining) {
      if (!before) {
        if (!change.isLapse) this.processes.recordDeparture(change);
        return EndpointEffect.None;
      }
      const lapseEnd = this.getLapseEnd(change, now, isFromRegistry);
      if (change.isRemoved && lapseEnd !== undefined && lapseEnd > now) {
        // Peers that receive the change from here must treat it as a lapse too.
        this.lastChanges.set(change.id, {...change, isLapse: true});
        this.setGraceEnd(before, lapseEnd);
        return EndpointEffect.Lapsed;
      }
      // A lapse whose grace period has ended elsewhere says nothing about the process.
      if (!change.isLapse) this.processes.recordDeparture(change);
      this.endpoints.delete(change.id);
      return EndpointEffect.Left;
    }
    this.processes.recordUse(change.id, entry.bornAt, change.revision);
    const isSameProcess = before?.entry.bornAt === entry.bornAt;
    const isNewEra =
      last !== undefined && getEra(change.revision) > getEra(last.revision);
    const coldUntil = now + entry.coldLeftMs;
    this.endpoints.set(change.id, {
      entry,
      revision: change.revision,
      // A delayed entry of the same process must not shorten its cold start, nor an older copy.
      coldUntil:
        isSameProcess && (entry.coldLeftMs > 0 || isNewEra)
          ? Math.max(before.coldUntil, coldUntil)
          : coldUntil,
      learnedAt: now,
    });
    return isSameProcess ? EndpointEffect.Updated : EndpointEffect.Joined;
  }

  /**
   * Treats every endpoint that a complete listing does not contain as removed.
   * @param ids - Ids of the listed endpoints.
   * @param revision - Revision before the listing began; later entries are kept.
   * @param now - Monotonic time in milliseconds.
   * @param isFromRegistry - Whether this instance has read the listing itself.
   * @returns The endpoints that left or lapsed.
   */
  removeUnlisted(
    ids: ReadonlySet<string>,
    revision: number,
    now: number,
    isFromRegistry = false,
  ): Array<{id: string; effect: EndpointEffect}> {
    const removed: Array<{id: string; effect: EndpointEffect}> = [];
    for (const [id, {revision: knownRevision}] of [...this.endpoints]) {
      if (ids.has(id) || knownRevision > revision) continue;
      const at = Math.max(knownRevision + 0.5, revision);
      // The registry's older copy does not show that an endpoint has left since an earlier era.
      const isLapse = getEra(revision) > getEra(knownRevision);
      const change = {
        id,
        revision: at,
        isRemoved: true,
        ...(isLapse ? {isLapse} : {}),
      };
      const effect = this.apply(change, now, isFromRegistry);
      if (effect !== EndpointEffect.None) removed.push({id, effect});
    }
    return removed;
  }

  /**
   * Removes lapsed entries whose grace period has ended.
   * @param now - Monotonic time in milliseconds.
   * @returns Ids of the removed entries.
   */
  expire(now: number): string[] {
    if (now < this.nextExpiry) return [];
    const expired: string[] = [];
    this.nextExpiry = Infinity;
    for (const [id, {graceEndsAt}] of this.endpoints) {
      if (graceEndsAt === undefined) continue;
      if (graceEndsAt <= now) expired.push(id);
      else this.nextExpiry = Math.min(this.nextExpiry, graceEndsAt);
    }
    for (const id of expired) this.endpoints.delete(id);
    if (expired.length > 0) this.invalidateCaches();
    return expired;
  }

  /**
   * Treats an endpoint as cold because it may have restarted unnoticed.
   * @param id - Id of the endpoint.
   * @param until - Monotonic time in milliseconds until which it is cold at least.
   */
  extendCold(id: string, until: number): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint) endpoint.coldUntil = Math.max(endpoint.coldUntil, until);
  }

  /**
   * Returns a usable endpoint.
   * @param id - Id of the endpoint.
   */
  get(id: string): KnownEndpoint | undefined {
    return this.endpoints.get(id);
  }

  /**
   * Returns the usable endpoints of a service, sorted by id.
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
   * Returns the total number of slots of the usable endpoints of a service.
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
   * Returns the last change of each endpoint that has changed after a revision.
   * @param revision - Revision that the reader already has.
   * @param now - Monotonic time in milliseconds.
   */
  getChangesAfter(revision: number, now: number): EndpointChange[] {
    const changes: EndpointChange[] = [];
    for (const change of this.lastChanges.values()) {
      if (change.revision <= revision) continue;
      changes.push(change.isLapse ? this.stateGrace(change, now) : change);
    }
    return changes;
  }

  /** Returns the changes that replace what the registry's older copy shows. */
  getCorrections(): EndpointChange[] {
    return [...this.corrections.values()];
  }

  /**
   * Replaces a change of a process that has left, or of one that a later process has replaced. The
   * correction is ordered behind the change, so that other instances apply it too.
   */
  private correct(
    change: EndpointChange,
    standing: Standing.Left | Standing.Replaced,
    now: number,
  ): EndpointEffect {
    const {id, entry, revision} = change;
    const isReplaced = standing === Standing.Replaced;
    const correction: EndpointChange = {
      id,
      revision: revision + 0.5,
      isRemoved: isReplaced,
      ...(isReplaced ? {isLapse: true} : {}),
      ...(!isReplaced && entry
        ? {entry: {...entry, state: EndpointState.Draining}}
        : {}),
    };
    this.record(correction);
    this.corrections.set(id, correction);
    const before = this.endpoints.get(id);
    if (!before) return EndpointEffect.None;
    if (!isReplaced) {
      this.endpoints.delete(id);
      return EndpointEffect.Left;
    }
    // The later process is not registered in the copy and has to register again.
    this.setGraceEnd(before, before.graceEndsAt ?? now + this.lapseGraceMs);
    return EndpointEffect.Lapsed;
  }

  private record(change: EndpointChange): void {
    this.lastChanges.set(change.id, change);
    // Other instances do not wait for corrections and conclusions, which have no own revision.
    const revision = Math.floor(change.revision);
    this.highestRevision = Math.max(this.highestRevision, revision);
    this.invalidateCaches();
  }

  private invalidateCaches(): void {
    this.versionCount++;
    this.byService.clear();
    this.slotsByService.clear();
  }

  /** Returns until when an endpoint is kept after its removal; undefined if it has left. */
  private getLapseEnd(
    {isLapse, lapseMs = this.lapseGraceMs}: EndpointChange,
    now: number,
    isFromRegistry: boolean,
  ): number | undefined {
    if (isLapse) return now + Math.min(lapseMs, this.lapseGraceMs);
    return isFromRegistry ? this.outage.getLapseEnd(now) : undefined;
  }

  /**
   * Removes an endpoint at once that another instance takes for lapsed, if this one has read the
   * same removal itself and has seen no outage.
   */
  private refuteLapse(
    last: EndpointChange,
    change: EndpointChange,
    now: number,
  ): EndpointEffect {
    const isSame = last.revision === change.revision && change.isRemoved;
    const lapsed = this.endpoints.get(change.id);
    const isRefuted =
      isSame && last.isLapse && this.outage.getLapseEnd(now) === undefined;
    if (!isRefuted || lapsed?.graceEndsAt === undefined || change.isLapse) {
      return EndpointEffect.None;
    }
    this.record(change);
    this.processes.recordDeparture(change);
    this.endpoints.delete(change.id);
    return EndpointEffect.Left;
  }

  private setGraceEnd(endpoint: KnownEndpoint, graceEndsAt: number): void {
    endpoint.graceEndsAt = graceEndsAt;
    this.nextExpiry = Math.min(this.nextExpiry, graceEndsAt);
  }

  /** Adds the rest of the grace period, so that it ends at the same time at other instances. */
  private stateGrace(change: EndpointChange, now: number): EndpointChange {
    const graceEndsAt = this.endpoints.get(change.id)?.graceEndsAt ?? now;
    return {...change, lapseMs: Math.max(0, graceEndsAt - now)};
  }
}
