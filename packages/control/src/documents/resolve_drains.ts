import type {Topology} from '@primrosestage/steering';
import {type Drain, DrainKind} from './drain.js';

/** Lists the parts that drains take out of service, by id or name. */
export interface DrainedParts {
  /** Instances that lookups omit and that own no endpoints. */
  instances: ReadonlySet<string>;
  /** Endpoints that their owners give no new work. */
  endpoints: ReadonlySet<string>;
  zones: ReadonlySet<string>;
  regions: ReadonlySet<string>;
}

/**
 * Expands drains of zones and regions to their instances and endpoints.
 * @param drains - The drains in force.
 * @param topology - Where each part belongs.
 * @returns The drained parts; the zones of a drained region are included.
 */
export function resolveDrains(
  drains: readonly Drain[],
  topology: Topology,
): DrainedParts {
  const getTargets = (kind: DrainKind) =>
    new Set(drains.filter(d => d.kind === kind).map(({target}) => target));
  const regions = getTargets(DrainKind.Region);
  const zones = getTargets(DrainKind.Zone);
  for (const {name, region} of topology.zones) {
    if (regions.has(region)) zones.add(name);
  }
  const instances = getTargets(DrainKind.Instance);
  for (const {id, zone} of topology.instances) {
    if (zones.has(zone)) instances.add(id);
  }
  const endpoints = getTargets(DrainKind.Endpoint);
  for (const {id, zone} of topology.endpoints) {
    if (zones.has(zone)) endpoints.add(id);
  }
  return {instances, endpoints, zones, regions};
}
