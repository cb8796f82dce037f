import {type Drain, DrainKind} from '@primrosestage/control';
import type {Endpoint, InstanceInfo, Topology} from '@primrosestage/steering';

/** Answers which parts are drained. */
export class DrainView {
  private drains: readonly Drain[] = [];
  private keys = new Set<string>();

  constructor(
    private readonly topology: Topology,
    private readonly getDrains: () => readonly Drain[],
  ) {}

  /** Says whether an instance, its zone or its region is drained. */
  isInstanceDrained(instance: InstanceInfo): boolean {
    return (
      this.has(DrainKind.Instance, instance.id) ||
      this.has(DrainKind.Zone, instance.zone) ||
      this.has(DrainKind.Region, instance.region)
    );
  }

  /** Says whether all of a region is drained. */
  isRegionDrained(region: string): boolean {
    if (this.has(DrainKind.Region, region)) return true;
    const zones = this.topology.zones.filter(zone => zone.region === region);
    return (
      zones.length > 0 &&
      zones.every(({name}) => this.has(DrainKind.Zone, name))
    );
  }

  /**
   * Says whether an endpoint takes no new requests. The endpoints of a drained region still take
   * the share that has not moved away yet, because the shift cap bounds how fast it may move.
   */
  isEndpointClosed(endpoint: Endpoint): boolean {
    if (this.has(DrainKind.Endpoint, endpoint.id)) return true;
    return (
      this.has(DrainKind.Zone, endpoint.zone) &&
      !this.isRegionDrained(endpoint.region)
    );
  }

  /** Says whether an owner takes no new requests. */
  isOwnerClosed(owner: InstanceInfo): boolean {
    return this.has(DrainKind.Instance, owner.id);
  }

  private has(kind: DrainKind, target: string): boolean {
    const drains = this.getDrains();
    if (drains !== this.drains) {
      this.drains = drains;
      this.keys = new Set(drains.map(drain => `${drain.kind}/${drain.target}`));
    }
    return this.keys.has(`${kind}/${target}`);
  }
}
