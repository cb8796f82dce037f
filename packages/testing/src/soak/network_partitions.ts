import type {Cluster} from '../cluster/index.js';
import type {PartitionKind} from '../faults/index.js';

interface Partition {
  sides: [string[], string[]];
  kind: PartitionKind;
}

/** Tracks the network partitions between groups of hosts and applies them to all instances. */
export class NetworkPartitions {
  private readonly partitions = new Set<Partition>();

  constructor(private readonly cluster: Cluster) {}

  /** Gets the hosts of the instances and backend servers of a zone. */
  getHosts(zone: string): string[] {
    const {instances, endpoints} = this.cluster.topology;
    return [
      ...instances
        .filter(instance => instance.zone === zone)
        .map(({internalAddress}) => getHost(internalAddress)),
      ...endpoints
        .filter(endpoint => endpoint.zone === zone)
        .map(({address}) => getHost(address)),
    ];
  }

  /** Gets the hosts of the store. */
  getStoreHosts(): string[] {
    return [getHost(this.cluster.settings.store.address)];
  }

  /**
   * Adds a partition between two groups of hosts.
   * @returns A function that ends the partition.
   */
  async add(
    sides: [string[], string[]],
    kind: PartitionKind,
  ): Promise<() => Promise<void>> {
    const partition = {sides, kind};
    this.partitions.add(partition);
    await this.apply();
    return async () => {
      this.partitions.delete(partition);
      await this.apply();
    };
  }

  /** Permanently stops all data on the existing connections between two groups of hosts. */
  async silenceConnections([a, b]: [string[], string[]]): Promise<void> {
    for (const {id, internalAddress} of this.cluster.topology.instances) {
      const host = getHost(internalAddress);
      const peers = [
        ...(a.includes(host) ? b : []),
        ...(b.includes(host) ? a : []),
      ];
      if (peers.length > 0)
        this.cluster.callInstance(id, 'silenceConnections', peers);
    }
  }

  private async apply(): Promise<void> {
    for (const {id, internalAddress} of this.cluster.topology.instances) {
      const host = getHost(internalAddress);
      const kindsByPeer: Record<string, PartitionKind> = {};
      for (const {sides, kind} of this.partitions) {
        const [a, b] = sides;
        if (a.includes(host)) b.forEach(peer => (kindsByPeer[peer] = kind));
        if (b.includes(host)) a.forEach(peer => (kindsByPeer[peer] = kind));
      }
      this.cluster.setPartitions(id, kindsByPeer);
    }
  }
}

function getHost(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}
