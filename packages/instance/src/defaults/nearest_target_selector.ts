import type {ConfigurationView} from '@primrosestage/control';
import type {
  EndpointOwnership,
  InstanceInfo,
  Target,
  TargetRequest,
  TargetResult,
  TargetSelector,
  Topology,
} from '@primrosestage/steering';

/** Configures the selection of targets. */
export interface NearestTargetSelectorOptions {
  topology: Topology;
  self: InstanceInfo;
  ownership: EndpointOwnership;
  configuration: ConfigurationView;
}

/** Selects the region by the preset's shares, then the nearest owner with the fewest requests. */
export class NearestTargetSelector implements TargetSelector {
  private readonly inFlight = new Map<string, number>();
  private readonly sent = new Map<string, number>();

  constructor(private readonly options: NearestTargetSelectorOptions) {}

  selectTarget(request: TargetRequest): Target | undefined {
    for (const region of this.orderRegions(request)) {
      const target = this.selectInRegion(request, region);
      if (!target) continue;
      this.add(this.inFlight, getKey(request.service.name, target.owner), 1);
      const sentKey = `${request.service.name}/${request.sourceRegion}/${region}`;
      this.add(this.sent, sentKey, 1);
      return target;
    }
    return undefined;
  }

  recordResult({service, target}: TargetResult): void {
    this.add(this.inFlight, getKey(service.name, target.owner), -1);
  }

  /** Orders regions by how far their traffic is below their share; those without a share last. */
  private orderRegions({service, sourceRegion}: TargetRequest): string[] {
    const {topology, configuration} = this.options;
    const shares = configuration.getPreset(service.team)?.shares[service.name];
    const weights = shares?.[sourceRegion] ?? {[sourceRegion]: 1};
    const getDebt = (region: string) => {
      const sentCount =
        this.sent.get(`${service.name}/${sourceRegion}/${region}`) ?? 0;
      const weight = weights[region] ?? 0;
      return weight > 0 ? (sentCount + 1) / weight : Infinity;
    };
    return [...topology.regions].sort((a, b) => {
      const [debtA, debtB] = [getDebt(a), getDebt(b)];
      return debtA === debtB ? 0 : debtA - debtB;
    });
  }

  private selectInRegion(
    request: TargetRequest,
    region: string,
  ): Target | undefined {
    const {topology, self, ownership} = this.options;
    const {service, tried} = request;
    const targets = topology
      .getEndpoints(service.team, service.name)
      .filter(endpoint => endpoint.region === region)
      .flatMap(({id, zone}) => {
        const owner = ownership.getOwner(id);
        return owner && !tried.has(owner.id) ? [{owner, region, zone}] : [];
      });
    const getRank = ({owner, zone}: Target) =>
      (zone === self.zone ? 0 : 1_000_000) +
      (this.inFlight.get(getKey(service.name, owner)) ?? 0);
    return targets.sort((a, b) => getRank(a) - getRank(b))[0];
  }

  private add(counts: Map<string, number>, key: string, delta: number): void {
    counts.set(key, (counts.get(key) ?? 0) + delta);
  }
}

function getKey(service: string, owner: InstanceInfo): string {
  return `${service}/${owner.id}`;
}
