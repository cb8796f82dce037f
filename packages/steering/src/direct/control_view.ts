import {AccountTable} from './account_table.js';
import {EndpointEffect, EndpointTable} from './endpoint_table.js';
import type {EndpointChange} from './endpoint_entry.js';
import {type EvacuationChange, EvacuationTable} from './evacuation_table.js';
import {getLapseGraceMs} from './registry_outage.js';
import {getEra} from './revision.js';
import type {RouteConfiguration} from './route.js';
import {RouteTable} from './route_table.js';

export type {EvacuationChange} from './evacuation_table.js';

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
  private readonly evacuations: EvacuationTable;
  private syncedRevision = 0;
  private listedRevision = Infinity;

  /**
   * Creates an empty view.
   * @param drainMs - Time after which a leaving endpoint must get no requests, in milliseconds.
   */
  constructor(drainMs: number) {
    this.endpointTable = new EndpointTable(drainMs);
    this.evacuations = new EvacuationTable(getLapseGraceMs(drainMs));
  }

  /** Revision up to which this view is complete. */
  get revision(): number {
    return this.syncedRevision;
  }

  /** Highest revision of any change to the endpoints or evacuations. */
  get changedRevision(): number {
    return Math.max(this.endpointTable.revision, this.evacuations.revision);
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
    return this.endpointTable.version + this.evacuations.version;
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
    return this.evacuations.isActive(zone);
  }

  /**
   * Applies changes.
   * @param changes - Changes from the store or another instance.
   * @param now - Monotonic time in milliseconds.
   * @returns The effects on the view.
   */
  apply(changes: ControlChanges, now: number): ViewEffects {
    const effects: ViewEffects = {endpoints: [], evacuations: []};
    const isNewEra = this.isOfLaterEra(changes.revision);
    if (isNewEra && changes.isFromRegistry && this.listedRevision < Infinity) {
      this.endOutage(now);
    }
    // Only the first listing may show a copy, but later ones do not tell what was observed either.
    const listing =
      changes.isFull && changes.isFromRegistry && getEra(changes.revision) > 0
        ? {isListed: true}
        : {};
    if (this.adoptConfiguration(changes.configuration)) {
      effects.configuration = changes.configuration;
    }
    for (const change of changes.endpoints) {
      const effect = this.endpointTable.apply(
        {...change, ...listing},
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
      if (this.evacuations.apply({...change, ...listing}, now)) {
        effects.evacuations.push(change);
      }
    }
    if (changes.isFull) this.removeUnlisted(changes, now, effects);
    // Changes of a later era say what is missing in it only if they are a full snapshot.
    if (changes.isFull || !isNewEra) {
      this.syncedRevision = Math.max(this.syncedRevision, changes.revision);
    }
    return effects;
  }

  /**
   * Removes endpoints and evacuations whose grace period has ended.
   * @param now - Monotonic time in milliseconds.
   * @returns Ids of the removed endpoints, and the evacuations that ended.
   */
  expire(now: number): {endpoints: string[]; evacuations: EvacuationChange[]} {
    return {
      endpoints: this.endpointTable.expire(now),
      evacuations: this.evacuations.expire(now),
    };
  }

  /**
   * Says whether another instance's view contains changes that this one lacks.
   * @param changedRevision - Highest revision of any change in the other view.
   * @param revision - Revision up to which the other view is complete.
   */
  isBehind(changedRevision: number, revision: number): boolean {
    return changedRevision > this.syncedRevision || this.isOfLaterEra(revision);
  }

  /**
   * Advances the revision of this view to that of another instance's complete view, if this view
   * contains all changes of the other one.
   * @param changedRevision - Highest revision of any change in the other view.
   * @param revision - Revision up to which the other view is complete.
   * @returns Whether this view contains all changes of the other one.
   */
  advanceRevision(changedRevision: number, revision: number): boolean {
    if (!this.isComplete || this.isBehind(changedRevision, revision)) {
      return false;
    }
    this.syncedRevision = Math.max(this.syncedRevision, revision);
    return true;
  }

  /**
   * Returns the changes that another instance lacks.
   * @param revision - Revision up to which the view of the other instance is complete.
   * @param now - Monotonic time in milliseconds.
   */
  getChangesAfter(revision: number, now: number): ControlChanges {
    const isFull = revision < this.listedRevision;
    const since = isFull ? -1 : revision;
    return {
      revision: this.syncedRevision,
      isFull: isFull && this.isComplete,
      endpoints: this.endpointTable.getChangesAfter(since, now),
      evacuations: this.evacuations.getChangesAfter(since),
    };
  }

  /**
   * Returns what this instance holds against the registry's older copy; undefined if nothing.
   * Instances that started in the present era learn only from this what has left before.
   */
  getCorrections(): ControlChanges | undefined {
    const isPresent = ({revision}: {revision: number}) =>
      getEra(revision) === getEra(this.syncedRevision);
    const endpoints = this.endpointTable.getCorrections().filter(isPresent);
    const evacuations = this.evacuations.getCorrections().filter(isPresent);
    if (endpoints.length + evacuations.length === 0) return undefined;
    return {revision: 0, isFull: false, endpoints, evacuations};
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

  private isOfLaterEra(revision: number): boolean {
    return getEra(revision) > getEra(this.syncedRevision);
  }

  /** Leases are lost with an era, so that live endpoints may be removed until they write again. */
  private endOutage(now: number): void {
    this.endpointTable.markRegistryUnavailable();
    this.endpointTable.markRegistryAvailable(now);
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
    for (const {id, effect} of removed) {
      effects.endpoints.push({id, effect, revision});
    }
    effects.evacuations.push(
      ...this.evacuations.removeUnlisted(changes.evacuations, revision, now),
    );
    const isNewEra =
      this.listedRevision < Infinity &&
      getEra(revision) > getEra(this.listedRevision);
    this.listedRevision = isNewEra
      ? revision
      : Math.min(this.listedRevision, revision);
  }
}
