import type {ClientAccount} from './client_account.js';
import {hash32} from './hash_fraction.js';
import type {
  CallerLimits,
  DirectService,
  Route,
  RouteConfiguration,
} from './route.js';

/** An entry of a configuration, which its name identifies. */
interface Named {
  name: string;
}

/** Difference between two lists of named entries. */
export interface ListDelta<T> {
  /** Entries that were added or changed. */
  set: T[];
  /** Names of the entries that were removed. */
  removed: string[];
}

/** Difference between two versions of the configuration. */
export interface ConfigurationDelta {
  /** Version to which the difference applies. */
  since: number;
  /** Version that results. */
  version: number;
  routes: ListDelta<Route>;
  services: ListDelta<DirectService>;
  accounts?: ListDelta<ClientAccount>;
  limits: CallerLimits;
  /** Hash of the whole configuration that results. */
  digest: number;
}

/**
 * Describes how a configuration differs from an earlier one.
 * @param before - The earlier configuration.
 * @param after - The later configuration.
 * @returns The difference, or undefined if the later one cannot be told from it, as where names, or
 *     prefixes of a host, occur twice. The order of entries has no meaning otherwise and may differ.
 */
export function createConfigurationDelta(
  before: RouteConfiguration,
  after: RouteConfiguration,
): ConfigurationDelta | undefined {
  const delta: ConfigurationDelta = {
    since: before.version,
    version: after.version,
    routes: diffLists(before.routes, after.routes),
    services: diffLists(
      [...before.services.values()],
      [...after.services.values()],
    ),
    accounts:
      after.accounts && diffLists(before.accounts ?? [], after.accounts),
    limits: after.limits,
    digest: digestConfiguration(after),
  };
  const isExact =
    !hasDuplicatePrefixes(after.routes) &&
    applyConfigurationDelta(before, delta);
  return isExact ? delta : undefined;
}

/**
 * Applies a difference to a configuration.
 * @param before - The configuration.
 * @param delta - The difference, from another instance.
 * @returns The later configuration, or undefined if the difference does not lead from this one to it.
 */
export function applyConfigurationDelta(
  before: RouteConfiguration,
  delta: ConfigurationDelta,
): RouteConfiguration | undefined {
  if (before.version !== delta.since) return undefined;
  const services = patchList([...before.services.values()], delta.services);
  const after: RouteConfiguration = {
    version: delta.version,
    routes: patchList(before.routes, delta.routes),
    services: new Map(services.map(service => [service.name, service])),
    limits: delta.limits,
    accounts:
      delta.accounts && patchList(before.accounts ?? [], delta.accounts),
  };
  return digestConfiguration(after) === delta.digest ? after : undefined;
}

/** Says whether routes share their host and prefix, so that their order decides between them. */
function hasDuplicatePrefixes(routes: readonly Route[]): boolean {
  const places = routes.map(({host, prefix}) => `${host} ${prefix}`);
  return new Set(places).size < routes.length;
}

/** Hashes a configuration without regard to the order of its entries. */
function digestConfiguration({
  version,
  routes,
  services,
  accounts,
  limits,
}: RouteConfiguration): number {
  const parts = [
    version,
    sortByName(routes),
    sortByName([...services.values()]),
    accounts && sortByName(accounts),
    limits,
  ];
  return hash32(JSON.stringify(parts));
}

function sortByName<T extends Named>(entries: readonly T[]): T[] {
  return [...entries].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function diffLists<T extends Named>(
  before: readonly T[],
  after: readonly T[],
): ListDelta<T> {
  const known = new Map(
    before.map(entry => [entry.name, JSON.stringify(entry)]),
  );
  const names = new Set(after.map(({name}) => name));
  return {
    set: after.filter(entry => known.get(entry.name) !== JSON.stringify(entry)),
    removed: [...known.keys()].filter(name => !names.has(name)),
  };
}

/** Replaces changed entries in their places and adds new ones at the end. */
function patchList<T extends Named>(
  before: readonly T[],
  {set, removed}: ListDelta<T>,
): T[] {
  const entries = new Map(before.map(entry => [entry.name, entry]));
  for (const name of removed) entries.delete(name);
  for (const entry of set) entries.set(entry.name, entry);
  return [...entries.values()];
}
