import {
  type EndpointOwnership,
  getCandidates,
  type Hash64,
  type InstanceInfo,
  type Topology,
} from '@primrosestage/steering';

/** Gives every endpoint to its first candidate, live or not. */
export class StaticOwnership implements EndpointOwnership {
  private readonly owners = new Map<string, InstanceInfo | undefined>();

  constructor(
    private readonly topology: Topology,
    private readonly self: InstanceInfo,
    hash: Hash64,
  ) {
    for (const endpoint of topology.endpoints) {
      const [owner] = getCandidates(endpoint, topology.instances, hash);
      this.owners.set(endpoint.id, owner);
    }
  }

  getOwner(endpointId: string): InstanceInfo | undefined {
    return this.owners.get(endpointId);
  }

  getLimit(endpointId: string): number {
    return this.getOwner(endpointId)?.id === this.self.id
      ? (this.topology.getEndpoint(endpointId)?.slots ?? 0)
      : 0;
  }
}
