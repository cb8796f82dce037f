import {
  type EndpointOwnership,
  getServiceKey,
  type InstanceInfo,
  Liveness,
  Locality,
  type OwnerCandidate,
  type Service,
  type Topology,
} from '@primrosestage/steering';
import type {DrainView} from './drain_view.js';

/**
 * Time for which a list of owners is cached, in milliseconds. The cache bounds the cost per request
 * and adds little to the seconds that drains and suspicions take to propagate.
 */
const LIST_TTL_MS = 100;

/** Describes an owner of endpoints of a service in one region. */
export interface DirectoryEntry extends OwnerCandidate {
  owner: InstanceInfo;
  /** Zone of the first of these endpoints. */
  endpointZone: string;
}

interface CachedList {
  entries: readonly DirectoryEntry[];
  builtAtMs: number;
}

/** Configures the directory. */
export interface OwnerDirectoryOptions {
  topology: Topology;
  self: InstanceInfo;
  ownership: EndpointOwnership;
  drains: DrainView;
  getLiveness(instanceId: string): Liveness;
}

/** Lists the owners that requests may be sent to, by service and region. */
export class OwnerDirectory {
  private readonly cachedLists = new Map<string, CachedList>();

  constructor(private readonly options: OwnerDirectoryOptions) {}

  /**
   * Gets the owners of a service's endpoints in a region, without excluded endpoints and without
   * owners that are suspected, gone or excluded.
   * @param service - The service.
   * @param region - The region of the endpoints.
   * @param nowMs - Current time in milliseconds.
   * @returns The owners; empty if the service has failed in the region.
   */
  getOwners(
    service: Service,
    region: string,
    nowMs: number,
  ): readonly DirectoryEntry[] {
    const key = `${getServiceKey(service)}/${region}`;
    const list = this.cachedLists.get(key);
    if (list && nowMs - list.builtAtMs < LIST_TTL_MS) return list.entries;
    const entries = this.buildEntries(service, region, owner =>
      this.isEligible(owner),
    );
    this.cachedLists.set(key, {entries, builtAtMs: nowMs});
    return entries;
  }

  /**
   * Gets the suspected owners of a service's endpoints in a region, without excluded endpoints and
   * owners. A suspected owner may still be up: its heartbeats may fail on silent connections while
   * new connections work.
   * @param service - The service.
   * @param region - The region of the endpoints.
   * @returns The owners.
   */
  getSuspectedOwners(
    service: Service,
    region: string,
  ): readonly DirectoryEntry[] {
    const {drains, getLiveness} = this.options;
    return this.buildEntries(
      service,
      region,
      owner =>
        !drains.isOwnerExcluded(owner) &&
        getLiveness(owner.id) === Liveness.Suspected,
    );
  }

  private buildEntries(
    service: Service,
    region: string,
    isIncluded: (owner: InstanceInfo) => boolean,
  ): DirectoryEntry[] {
    const {topology, ownership, drains} = this.options;
    const entries = new Map<string, DirectoryEntry>();
    for (const endpoint of topology.getEndpoints(service.team, service.name)) {
      if (endpoint.region !== region) continue;
      if (drains.isEndpointExcluded(endpoint)) continue;
      const owner = ownership.getOwner(endpoint.id);
      if (!owner || !isIncluded(owner)) continue;
      const entry = entries.get(owner.id);
      if (entry) entry.slots += endpoint.slots;
      else {
        entries.set(owner.id, {
          id: owner.id,
          loadKey: getLoadKey(owner.id, service),
          slots: endpoint.slots,
          locality: this.getLocality(owner),
          owner,
          endpointZone: endpoint.zone,
        });
      }
    }
    return [...entries.values()];
  }

  private isEligible(owner: InstanceInfo): boolean {
    const {self, drains, getLiveness} = this.options;
    if (drains.isOwnerExcluded(owner)) return false;
    if (owner.id === self.id) return true;
    const liveness = getLiveness(owner.id);
    return liveness === Liveness.Live || liveness === Liveness.Leaving;
  }

  private getLocality(owner: InstanceInfo): Locality {
    const {self} = this.options;
    if (owner.id === self.id) return Locality.Self;
    return owner.zone === self.zone ? Locality.Zone : Locality.Region;
  }
}

/**
 * Gets the key of an owner and a service in `OwnerLoads`.
 * @param ownerId - Id of the owner.
 * @param service - The service.
 * @returns The key.
 */
export function getLoadKey(ownerId: string, service: Service): string {
  return `${ownerId}/${getServiceKey(service)}`;
}
