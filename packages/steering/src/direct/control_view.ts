import {BookEffect, EndpointTable} from './endpoint_table.js';
import type {EndpointChange} from './endpoint_entry.js';
import type {RouteConfiguration} from './route.js';
import {RouteTable} from './route_table.js';

/** Asks that nothing more be sent to the endpoints of a zone, or ends that. */
export interface EvacuationChange {
  zone: string;
  isActive: boolean;
  revision: number;
}

/** Holds changes of the control state in the form in which instances pass them on. */
export interface ControlChanges {
  /** Revision up to which the changes are complete. */
  revision: number;
  /** Whether they hold the whole state, so that what is missing does not exist. */
  isFull: boolean;
  configuration?: RouteConfiguration;
  endpoints: EndpointChange[];
  evacuations: EvacuationChange[];
}

/** Says what changes did to the view. */
export interface ViewEffects {
  /** The configuration that came into force. */
  configuration?: RouteConfiguration;
  endpoints: Array<{id: string; effect: BookEffect; revision: number}>;
  evacuations: EvacuationChange[];
}

/**
 * Holds configuration, endpoints and evacuations as one instance knows them. Changes come from
 * the store and from other instances, in any order and more than once; each part only moves
 * forward.
 */
export class ControlView {
  readonly book: EndpointTable;
  private config?: RouteConfiguration;
  private routeTable = new RouteTable([]);
  private readonly evacuations = new Map<string, EvacuationChange>();
  private syncedRevision = 0;
  private listedRevision = Infinity;
  private evacuationVersion = 0;
  private evacuationRevision = 0;

  /**
   * Creates an empty view.
   * @param drainMs - Time after which a leaving endpoint must get no requests, in milliseconds.
   */
  constructor(drainMs: number) {
    this.book = new EndpointTable(drainMs);
  }

  /** Revision up to which this view is complete. */
  get revision(): number {
    return this.syncedRevision;
  }

  /** Highest revision of a change of the endpoints or the evacuations. */
  get changedRevision(): number {
    return Math.max(this.book.revision, this.evacuationRevision);
  }

  /** The configuration in force, or undefined before the first. */
  get configuration(): RouteConfiguration | undefined {
    return this.config;
  }

  /** The routes in force. */
  get routes(): RouteTable {
    return this.routeTable;
  }

  /** Rises whenever the endpoints that may be used may have changed. */
  get version(): number {
    return this.book.version + this.evacuationVersion;
  }

  /** Whether there is a configuration and a complete view of the endpoints. */
  get isComplete(): boolean {
    return this.config !== undefined && this.listedRevision < Infinity;
  }

  /**
   * Says whether a zone is evacuated.
   * @param zone - The zone.
   */
  isEvacuated(zone: string): boolean {
    return this.evacuations.get(zone)?.isActive === true;
  }

  /**
   * Applies changes.
   * @param changes - The changes.
   * @param now - Monotonic time in milliseconds.
   * @returns What changed.
   */
  apply(changes: ControlChanges, now: number): ViewEffects {
    const effects: ViewEffects = {endpoints: [], evacuations: []};
    if (this.adoptConfiguration(changes.configuration)) {
      effects.configuration = changes.configuration;
    }
    for (const change of changes.endpoints) {
      const effect = this.book.apply(change, now);
      if (effect === BookEffect.None) continue;
      effects.endpoints.push({
        id: change.id,
        effect,
        revision: change.revision,
      });
    }
    for (const change of changes.evacuations) {
      if (this.adoptEvacuation(change)) effects.evacuations.push(change);
    }
    if (changes.isFull) this.removeUnlisted(changes, now, effects);
    this.syncedRevision = Math.max(this.syncedRevision, changes.revision);
    return effects;
  }

  /**
   * Takes over how far a complete view of another instance reaches. Where this one has all that
   * changed up to there, it is complete up to there as well.
   * @param changedRevision - Highest revision of a change that the other one knows.
   * @param revision - Revision up to which the other one is complete.
   * @returns Whether this view has all that the other one has.
   */
  noteComplete(changedRevision: number, revision: number): boolean {
    if (!this.isComplete || this.syncedRevision < changedRevision) return false;
    this.syncedRevision = Math.max(this.syncedRevision, revision);
    return true;
  }

  /**
   * Returns what another instance lacks.
   * @param revision - Revision up to which the other one is complete.
   */
  getChangesAfter(revision: number): ControlChanges {
    const isFull = revision < this.listedRevision;
    const since = isFull ? -1 : revision;
    return {
      revision: this.syncedRevision,
      isFull: isFull && this.isComplete,
      endpoints: this.book.getChangesAfter(since),
      evacuations: [...this.evacuations.values()].filter(
        change => change.revision > since,
      ),
    };
  }

  private adoptConfiguration(configuration?: RouteConfiguration): boolean {
    if (!configuration) return false;
    if (this.config && configuration.version <= this.config.version) {
      return false;
    }
    this.config = configuration;
    this.routeTable = new RouteTable(configuration.routes);
    return true;
  }

  private adoptEvacuation(change: EvacuationChange): boolean {
    const known = this.evacuations.get(change.zone);
    if (known && known.revision >= change.revision) return false;
    this.evacuations.set(change.zone, change);
    this.evacuationVersion++;
    this.evacuationRevision = Math.max(
      this.evacuationRevision,
      change.revision,
    );
    return known?.isActive === true || change.isActive;
  }

  /** Removes what a full listing does not name. */
  private removeUnlisted(
    changes: ControlChanges,
    now: number,
    effects: ViewEffects,
  ): void {
    const {revision} = changes;
    const ids = new Set(changes.endpoints.map(({id}) => id));
    for (const id of this.book.removeUnlisted(ids, revision, now)) {
      effects.endpoints.push({id, effect: BookEffect.Left, revision});
    }
    const zones = new Set(changes.evacuations.map(({zone}) => zone));
    for (const known of [...this.evacuations.values()]) {
      if (zones.has(known.zone) || known.revision > revision) continue;
      const change = {zone: known.zone, isActive: false, revision};
      if (known.isActive && this.adoptEvacuation(change)) {
        effects.evacuations.push(change);
      }
    }
    this.listedRevision = Math.min(this.listedRevision, revision);
  }
}
