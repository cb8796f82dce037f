import {type Drain, DrainKind} from '@primrosestage/control';
import type {Endpoint, InstanceInfo, Topology} from '@primrosestage/steering';

/** Answers which parts are drained. */
export class DrainView {
  private indexedDrains: readonly Drain[] = [];
  private drainKeys = new Set<string>();

  constructor(
    private readonly topology: Topology,
    private readonly getDrains: () => readonly Drain[],
  ) {}

  /** Says whether an instance, its zone or its region is drained. */
  isInstanceDrained(instance: InstanceInfo): boolean {
    return (
      this.hasDrain(DrainKind.Instance, instance.id) ||
      this.hasDrain(DrainKind.Zone, instance.zone) ||
      this.hasDrain(DrainKind.Region, instance.region)
    );
  }

  /** Says whether all of a region is drained. */
  isRegionDrained(region: string): boolean {
    if (this.hasDrain(DrainKind.Region, region)) return true;
    const zones = this.topology.zones.filter(zone => zone.region === region);
    return (
      zones.length > 0 &&
      zones.every(({name}) => this.hasDrain(DrainKind.Zone, name))
    );
  }

  /**
   * Says whether an endpoint takes no new requests. The endpoints of a drained region still take
   * the share that has not moved away yet, because the shift cap bounds how fast it may move.
   */
  isEndpointExcluded(endpoint: Endpoint): boolean {
    if (this.hasDrain(DrainKind.Endpoint, endpoint.id)) return true;
    return (
      this.hasDrain(DrainKind.Zone, endpoint.zone) &&
      !this.isRegionDrained(endpoint.region)
    );
  }

  /** Says whether an owner takes no new requests. */
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
