import {getEra, getEraPosition} from './revision.js';

/** Starts or ends the evacuation of a zone, whose endpoints then get no requests. */
export interface EvacuationChange {
  zone: string;
  isActive: boolean;
  revision: number;
  /** Whether the evacuation is missing in the registry's older copy; it ends after a grace period. */
  isLapse?: boolean;
  /** Whether the change comes from a listing, which may show an older copy of the registry. */
  isListed?: boolean;
}

/**
 * Holds the evacuations that one instance knows, also when the registry returns from an older copy:
 * one that the copy lacks stays in force for a grace period, and one that had been lifted and shows
 * again in the copy stays lifted.
 */
export class EvacuationTable {
  private readonly changes = new Map<string, EvacuationChange>();
  /** Changes that replace what the registry's older copy shows, by zone. */
  private readonly corrections = new Map<string, EvacuationChange>();
  /** Position within its era of the last start of each zone's evacuation. */
  private readonly startPositions = new Map<string, number>();
  /** Monotonic time at which an evacuation that lapsed ends, in milliseconds. */
  private readonly graceEnds = new Map<string, number>();
  private highestRevision = 0;
  private versionCount = 0;

  /**
   * Creates an empty table.
   * @param lapseGraceMs - Time for which an evacuation that lapsed stays in force, in milliseconds.
   */
  constructor(private readonly lapseGraceMs: number) {}

  /** Highest revision of all applied changes. */
  get revision(): number {
    return this.highestRevision;
  }

  /** Counter that increases with each applied change. */
  get version(): number {
    return this.versionCount;
  }

  /**
   * Returns whether a zone is evacuated.
   * @param zone - Name of the zone.
   */
  isActive(zone: string): boolean {
    return this.changes.get(zone)?.isActive === true;
  }

  /**
   * Applies a change unless the same or a later one of the zone is known.
   * @param change - The change.
   * @param now - Monotonic time in milliseconds.
   * @returns Whether the zone was or is evacuated.
   */
  apply(change: EvacuationChange, now: number): boolean {
    const {zone, revision} = change;
    const known = this.changes.get(zone);
    if (known && known.revision >= revision) return false;
    if (known && this.isUndone(known, change)) {
      const correction = {zone, isActive: false, revision: revision + 0.5};
      this.corrections.set(zone, correction);
      this.record(correction);
      return false;
    }
    this.corrections.delete(zone);
    this.graceEnds.delete(zone);
    if (change.isActive && change.isLapse) {
      this.graceEnds.set(zone, now + this.lapseGraceMs);
    } else if (change.isActive) {
      this.startPositions.set(zone, getEraPosition(revision));
    }
    this.record(change);
    return known?.isActive === true || change.isActive;
  }

  /**
   * Ends the evacuations that a complete listing does not contain; those of an earlier era lapse.
   * @param listed - The listed evacuations.
   * @param revision - Revision before the listing began; later evacuations are kept.
   * @param now - Monotonic time in milliseconds.
   * @returns The evacuations that ended.
   */
  removeUnlisted(
    listed: readonly EvacuationChange[],
    revision: number,
    now: number,
  ): EvacuationChange[] {
    const zones = new Set(listed.map(({zone}) => zone));
    const ended: EvacuationChange[] = [];
    for (const known of [...this.changes.values()]) {
      const {zone} = known;
      if (zones.has(zone) || known.revision > revision || !known.isActive) {
        continue;
      }
      if (getEra(revision) > getEra(known.revision)) {
        this.apply({zone, isActive: true, revision, isLapse: true}, now);
        continue;
      }
      const change = {zone, isActive: false, revision};
      if (!known.isLapse && this.apply(change, now)) ended.push(change);
    }
    return ended;
  }

  /**
   * Ends the evacuations whose grace period has ended.
   * @param now - Monotonic time in milliseconds.
   * @returns The evacuations that ended.
   */
  expire(now: number): EvacuationChange[] {
    const ended: EvacuationChange[] = [];
    for (const [zone, endsAt] of [...this.graceEnds]) {
      const known = this.changes.get(zone);
      if (endsAt > now || !known) continue;
      const revision = known.revision + 0.5;
      const change = {zone, isActive: false, revision, isLapse: true};
      if (this.apply(change, now)) ended.push(change);
    }
    return ended;
  }

  /**
   * Returns the last change of each zone that has changed after a revision.
   * @param revision - Revision that the reader already has.
   */
  getChangesAfter(revision: number): EvacuationChange[] {
    return [...this.changes.values()].filter(
      change => change.revision > revision,
    );
  }

  /** Returns the changes that replace what the registry's older copy shows. */
  getCorrections(): EvacuationChange[] {
    return [...this.corrections.values()];
  }

  /**
   * Says whether a later era shows an evacuation that this instance knows to be lifted. The copy
   * shows the revision of its start, or an earlier one; the operator's new evacuations have others.
   */
  private isUndone(known: EvacuationChange, change: EvacuationChange): boolean {
    const {zone, isActive, isLapse, isListed, revision} = change;
    const isLaterEra = getEra(revision) > getEra(known.revision);
    const isLifted = !known.isActive && !known.isLapse;
    if (!isLifted || !isActive || !isLaterEra) return false;
    if (isLapse) return true;
    const lastPosition =
      this.startPositions.get(zone) ?? getEraPosition(known.revision);
    return isListed === true && getEraPosition(revision) <= lastPosition;
  }

  private record(change: EvacuationChange): void {
    this.changes.set(change.zone, change);
    // Other instances do not wait for corrections and conclusions, which have no own revision.
    const revision = Math.floor(change.revision);
    this.highestRevision = Math.max(this.highestRevision, revision);
    this.versionCount++;
  }
}
