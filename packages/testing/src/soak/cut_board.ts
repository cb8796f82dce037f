import type {Cluster} from '../cluster/index.js';
import type {CutKind} from '../faults/index.js';

interface Cut {
  sides: [string[], string[]];
  kind: CutKind;
}

/** Keeps the cuts between groups of hosts and applies them to all instances. */
export class CutBoard {
  private readonly cuts = new Set<Cut>();

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

  /** Gets the host of the store. */
  getStoreHosts(): string[] {
    return [getHost(this.cluster.settings.store.address)];
  }

  /**
   * Cuts the connections between two groups of hosts.
   * @returns Ends the cut.
   */
  async add(
    sides: [string[], string[]],
    kind: CutKind,
  ): Promise<() => Promise<void>> {
    const cut = {sides, kind};
    this.cuts.add(cut);
    await this.apply();
    return async () => {
      this.cuts.delete(cut);
      await this.apply();
    };
  }

  /** Makes the connections that exist between two groups of hosts silent for ever. */
  async stall([a, b]: [string[], string[]]): Promise<void> {
    for (const {id, internalAddress} of this.cluster.topology.instances) {
      const host = getHost(internalAddress);
      const peers = [
        ...(a.includes(host) ? b : []),
        ...(b.includes(host) ? a : []),
      ];
      if (peers.length > 0) this.cluster.callInstance(id, 'stall', peers);
    }
  }

  private async apply(): Promise<void> {
    for (const {id, internalAddress} of this.cluster.topology.instances) {
      const host = getHost(internalAddress);
      const cuts: Record<string, CutKind> = {};
      for (const {sides, kind} of this.cuts) {
        const [a, b] = sides;
        if (a.includes(host)) b.forEach(peer => (cuts[peer] = kind));
        if (b.includes(host)) a.forEach(peer => (cuts[peer] = kind));
      }
      this.cluster.setCuts(id, cuts);
    }
  }
}

function getHost(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}
