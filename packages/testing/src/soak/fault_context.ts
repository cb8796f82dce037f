import type {Cluster} from '../cluster/index.js';
import type {EndpointDrain, PlannedStop} from '../history/index.js';
import type {SeededRandom} from '../random/index.js';
import type {StoreFaults} from '../store/index.js';
import type {NetworkPartitions} from './network_partitions.js';
import type {Exemption} from './instance_monitor.js';
import type {Operator} from './operator.js';

/** Maximum number of instances that faults affect at a time; the others must still serve. */
const MAX_FAULTY_INSTANCES = 3;

/** Describes a fault that is active. */
export interface ActiveFault {
  /** Random choices of this fault, such as instances, zones and fractions. */
  detail: string;
  /** Time until `end` is called. */
  holdMs: number;
  /** Ends the fault and resolves when its cause has been removed. */
  end: () => Promise<unknown>;
}

/** Describes a kind of fault. */
export interface FaultKind {
  name: string;
  /** Whether the fault may interrupt requests while it is active. */
  mayInterruptRequests: boolean;
  start: (context: FaultContext) => Promise<ActiveFault>;
}

/**
 * Provides what faults act on and prevents two faults from using the same instance or backend
 * server.
 */
export class FaultContext {
  readonly plannedStops: PlannedStop[] = [];
  readonly drains: EndpointDrain[] = [];
  readonly exemptions: Exemption[] = [];
  /** Planned stops that ended with an exit code other than 0. */
  readonly failedStops: string[] = [];
  private readonly claimedIds = new Set<string>();
  private readonly storeFaults = new Set<Partial<StoreFaults>>();

  constructor(
    readonly cluster: Cluster,
    readonly random: SeededRandom,
    readonly partitions: NetworkPartitions,
    readonly operator: Operator,
    readonly ratePerSecond: number,
  ) {}

  /** Claims an instance that no other fault uses; returns undefined if too many are claimed. */
  claimInstance(id?: string): string | undefined {
    const ids = this.cluster.topology.instances.map(instance => instance.id);
    const free = ids.filter(other => !this.claimedIds.has(other));
    if (ids.length - free.length >= MAX_FAULTY_INSTANCES) return undefined;
    const claimed = id ?? this.random.pick(free);
    if (!free.includes(claimed)) return undefined;
    this.claimedIds.add(claimed);
    return claimed;
  }

  /** Claims backend servers that no other fault uses. */
  claimEndpoints(
    count: number,
    filter: {zone?: string; service?: string} = {},
  ): string[] {
    const free = this.cluster.topology.endpoints.filter(
      ({id, zone, service}) =>
        !this.claimedIds.has(id) &&
        zone === (filter.zone ?? zone) &&
        service === (filter.service ?? service),
    );
    const ids = this.random.sample(free, count).map(({id}) => id);
    for (const id of ids) this.claimedIds.add(id);
    return ids;
  }

  /** Releases claimed instances and backend servers. */
  release(...ids: string[]): void {
    for (const id of ids) this.claimedIds.delete(id);
  }

  /**
   * Exempts instances from the time limit of configuration changes.
   * @returns A function that ends the exemption.
   */
  exempt(...instances: string[]): () => void {
    const added = instances.map(instance => ({
      instance,
      startMs: Date.now(),
      endMs: Infinity,
    }));
    this.exemptions.push(...added);
    return () => added.forEach(one => (one.endMs = Date.now()));
  }

  /**
   * Adds faults to the store; later ones take precedence.
   * @returns A function that ends them.
   */
  async addStoreFaults(
    faults: Partial<StoreFaults>,
  ): Promise<() => Promise<unknown>> {
    const apply = () =>
      this.cluster.store.call(
        'setFaults',
        Object.assign({}, ...this.storeFaults),
      );
    this.storeFaults.add(faults);
    await apply();
    return () => {
      this.storeFaults.delete(faults);
      return apply();
    };
  }

  /** Draws a duration in milliseconds. */
  drawMs(minSeconds: number, maxSeconds: number): number {
    return this.random.int(minSeconds * 1_000, maxSeconds * 1_000);
  }
}
