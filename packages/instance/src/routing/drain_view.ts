import {type Drain, DrainKind} from '@primrosestage/control';
import type {Endpoint, InstanceInfo, Topology} from '@primrosestage/steering';

/** Looks up which instances, regions, endpoints and owners are affected by drains. */
export class DrainView {
  private indexedDrains: readonly Drain[] = [];
  private drainKeys = new Set<string>();

  constructor(
    private readonly topology: Topology,
    private readonly getDrains: () => readonly Drain[],
  ) {}

  /** Returns whether an instance, its zone or its region is drained. */
  isInstanceDrained(instance: InstanceInfo): boolean {
    return (
      this.hasDrain(DrainKind.Instance, instance.id) ||
      this.hasDrain(DrainKind.Zone, instance.zone) ||
      this.hasDrain(DrainKind.Region, instance.region)
    );
  }

  /** Returns whether a region, or each of its zones, is drained. */
  isRegionDrained(region: string): boolean {
    if (this.hasDrain(DrainKind.Region, region)) return true;
    const zones = this.topology.zones.filter(zone => zone.region === region);
    return (
      zones.length > 0 &&
      zones.every(({name}) => this.hasDrain(DrainKind.Zone, name))
    );
  }

  /**
   * Returns whether an endpoint is excluded from new requests. The endpoints of a drained region
   * still receive the share that has not been shifted yet, because the shift cap limits how fast
   * traffic may be shifted.
   */
  isEndpointExcluded(endpoint: Endpoint): boolean {
    if (this.hasDrain(DrainKind.Endpoint, endpoint.id)) return true;
    return (
      this.hasDrain(DrainKind.Zone, endpoint.zone) &&
      !this.isRegionDrained(endpoint.region)
    );
  }

  /** Returns whether an owner is excluded from new requests. */
  isOwnerExcluded(owner: InstanceInfo): boolean {
    return this.hasDrain(DrainKind.Instance, owner.id);
  }

  private hasDrain(kind: DrainKind, target: string): boolean {
    const drains = this.getDrains();
    if (drains !== this.indexedDrains) {
      this.indexedDrains = drains;
      this.drainKeys = new Set(
        drains.map(drain => `${drain.kind}/${drain.target}`),
      );
    }
    return this.drainKeys.has(`${kind}/${target}`);
  }
}
