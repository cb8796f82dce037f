import {
  type EndpointChange,
  type EndpointEntry,
  EndpointState,
} from './endpoint_entry.js';
import {ProcessHistory, Standing} from './process_history.js';
import {getEra} from './revision.js';

/**
 * Time within which a live endpoint whose registration lapsed registers again, in milliseconds:
 * about two seconds after the registry is back.
 */
const REREGISTRATION_MS = 2_300;
/** Maximum grace period of a lapsed entry, as a fraction of the drain time. */
const LAPSE_GRACE_FRACTION = 0.85;

/**
 * Returns the time for which an entry that lapsed stays in force, in milliseconds.
 * @param drainMs - Time after which a leaving endpoint must get no requests, in milliseconds.
 */
export function getLapseGraceMs(drainMs: number): number {
  return Math.min(REREGISTRATION_MS, drainMs * LAPSE_GRACE_FRACTION);
}

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
  private outageEndedAt = -Infinity;
  private isRegistryUnavailable = false;
  private highestRevision = 0;
  private versionCount = 0;

  /**
   * Creates an empty table.
   * @param drainMs - Time after which a leaving endpoint must get no requests, in milliseconds.
   */
  constructor(drainMs: number) {
    this.lapseGraceMs = getLapseGraceMs(drainMs);
  }

  /** Highest revision of all applied changes. */
  get revision(): number {
    return this.highestRevision;
  }

  /** Counter that increases whenever the set of usable endpoints may have changed. */
  get version(): number {
    return this.versionCount;
  }

  /** Number of usable endpoints. */
  get size(): number {
    return this.endpoints.size;
  }

  /**
   * Records that the registry does not answer. The last known endpoints stay in use.
   */
  markRegistryUnavailable(): void {
    this.isRegistryUnavailable = true;
  }

  /**
   * Records that the registry answers again.
   * @param now - Monotonic time in milliseconds.
   */
  markRegistryAvailable(now: number): void {
    if (!this.isRegistryUnavailable) return;
    this.isRegistryUnavailable = false;
    this.outageEndedAt = now;
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
    if (last && last.revision >= change.revision) return EndpointEffect.None;
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
      const isLapse =
        change.isLapse === true ||
        (isFromRegistry && this.isLapsePossible(now));
      if (change.isRemoved && isLapse) {
        // Peers that receive the change from here must treat it as a lapse too.
        this.lastChanges.set(change.id, {...change, isLapse: true});
        before.graceEndsAt = now + this.lapseGraceMs;
        return EndpointEffect.Lapsed;
      }
      this.processes.recordDeparture(change);
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
    const expired: string[] = [];
    for (const [id, {graceEndsAt}] of this.endpoints) {
      if (graceEndsAt !== undefined && graceEndsAt <= now) expired.push(id);
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
   */
  getChangesAfter(revision: number): EndpointChange[] {
    return [...this.lastChanges.values()].filter(
      change => change.revision > revision,
    );
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
    before.graceEndsAt ??= now + this.lapseGraceMs;
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

  private isLapsePossible(now: number): boolean {
    return (
      this.isRegistryUnavailable || now < this.outageEndedAt + this.lapseGraceMs
    );
  }
}
