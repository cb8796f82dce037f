import {AccountTable} from './account_table.js';
import {EndpointEffect, EndpointTable} from './endpoint_table.js';
import type {EndpointChange} from './endpoint_entry.js';
import type {RouteConfiguration} from './route.js';
import {RouteTable} from './route_table.js';

/** Starts or ends the evacuation of a zone, whose endpoints then get no requests. */
export interface EvacuationChange {
  zone: string;
  isActive: boolean;
  revision: number;
}

/** Changes of the control state, as instances exchange them. */
export interface ControlChanges {
  /** Revision up to which the changes are complete. */
  revision: number;
  /** Whether the changes are a full snapshot, so that items not listed do not exist. */
  isFull: boolean;
  /** Whether this instance has read the changes from the registry itself. */
  isFromRegistry?: boolean;
  configuration?: RouteConfiguration;
  endpoints: EndpointChange[];
  evacuations: EvacuationChange[];
}

/** Effects of applied changes on the view. */
export interface ViewEffects {
  /** The configuration that took effect, if any. */
  configuration?: RouteConfiguration;
  endpoints: Array<{id: string; effect: EndpointEffect; revision: number}>;
  evacuations: EvacuationChange[];
}

/**
 * Holds the configuration, endpoints and evacuations that one instance knows. Changes arrive from
 * the store and from other instances, in any order and more than once; an older change never
 * replaces a newer one.
 */
export class ControlView {
  readonly endpointTable: EndpointTable;
  private config?: RouteConfiguration;
  private routeTable = new RouteTable([]);
  private accountTable = new AccountTable();
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
    this.endpointTable = new EndpointTable(drainMs);
  }

  /** Revision up to which this view is complete. */
  get revision(): number {
    return this.syncedRevision;
  }

  /** Highest revision of any change to the endpoints or evacuations. */
  get changedRevision(): number {
    return Math.max(this.endpointTable.revision, this.evacuationRevision);
  }

  /** The configuration in force; undefined until one is known. */
  get configuration(): RouteConfiguration | undefined {
    return this.config;
  }

  /** Routes of the configuration in force. */
  get routes(): RouteTable {
    return this.routeTable;
  }

  /** Client accounts of the configuration in force. */
  get accounts(): AccountTable {
    return this.accountTable;
  }

  /** Counter that increases whenever the set of usable endpoints may have changed. */
  get version(): number {
    return this.endpointTable.version + this.evacuationVersion;
  }

  /** Whether there is a configuration and a complete view of the endpoints. */
  get isComplete(): boolean {
    return this.config !== undefined && this.listedRevision < Infinity;
  }

  /**
   * Returns whether a zone is evacuated.
   * @param zone - Name of the zone.
   */
  isEvacuated(zone: string): boolean {
    return this.evacuations.get(zone)?.isActive === true;
  }

  /**
   * Applies changes.
   * @param changes - Changes from the store or another instance.
   * @param now - Monotonic time in milliseconds.
   * @returns The effects on the view.
   */
  apply(changes: ControlChanges, now: number): ViewEffects {
    const effects: ViewEffects = {endpoints: [], evacuations: []};
    if (this.adoptConfiguration(changes.configuration)) {
      effects.configuration = changes.configuration;
    }
    for (const change of changes.endpoints) {
      const effect = this.endpointTable.apply(
        change,
        now,
        changes.isFromRegistry,
      );
      if (effect === EndpointEffect.None) continue;
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
   * Advances the revision of this view to that of another instance's complete view, if this view
   * contains all changes of the other one.
   * @param changedRevision - Highest revision of any change in the other view.
   * @param revision - Revision up to which the other view is complete.
   * @returns Whether this view contains all changes of the other one.
   */
  advanceRevision(changedRevision: number, revision: number): boolean {
    if (!this.isComplete || this.syncedRevision < changedRevision) return false;
    this.syncedRevision = Math.max(this.syncedRevision, revision);
    return true;
  }

  /**
   * Returns the changes that another instance lacks.
   * @param revision - Revision up to which the view of the other instance is complete.
   */
  getChangesAfter(revision: number): ControlChanges {
    const isFull = revision < this.listedRevision;
    const since = isFull ? -1 : revision;
    return {
      revision: this.syncedRevision,
      isFull: isFull && this.isComplete,
      endpoints: this.endpointTable.getChangesAfter(since),
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
    this.accountTable = new AccountTable(configuration.accounts);
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

  /** Removes the endpoints and evacuations that a full snapshot does not list. */
  private removeUnlisted(
    changes: ControlChanges,
    now: number,
    effects: ViewEffects,
  ): void {
    const {revision} = changes;
    const ids = new Set(changes.endpoints.map(({id}) => id));
    const removed = this.endpointTable.removeUnlisted(
      ids,
      revision,
      now,
      changes.isFromRegistry,
    );
    for (const id of removed) {
      effects.endpoints.push({id, effect: EndpointEffect.Left, revision});
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
