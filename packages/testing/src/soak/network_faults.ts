import {PartitionKind} from '../faults/index.js';
import type {FaultContext, FaultKind} from './fault_context.js';

/** Faults of the connections between zones and to the store. */
export const NETWORK_FAULTS: FaultKind[] = [
  createPartitionFault('zones cut, refused', PartitionKind.Refused),
  createPartitionFault('zones cut, silent', PartitionKind.Silent),
  {
    name: 'store cut off from zones',
    mayInterruptRequests: false,
    async start(context) {
      const zones = drawZones(context, context.random.int(1, 3));
      const kind = context.random.pick(Object.values(PartitionKind));
      const end = await context.partitions.add(
        [
          zones.flatMap(zone => context.partitions.getHosts(zone)),
          context.partitions.getStoreHosts(),
        ],
        kind,
      );
      const detail = `${zones.join(', ')}, ${kind}`;
      return {detail, holdMs: context.drawMs(6, 15), end};
    },
  },
  {
    name: 'zone isolated',
    mayInterruptRequests: true,
    async start(context) {
      const [zone = ''] = drawZones(context, 1);
      const {zones, instances} = context.cluster.topology;
      const others = zones.filter(({name}) => name !== zone);
      const kind = context.random.pick(Object.values(PartitionKind));
      const endExemption = context.exempt(
        ...instances.filter(i => i.zone === zone).map(({id}) => id),
      );
      const endPartition = await context.partitions.add(
        [
          context.partitions.getHosts(zone),
          others
            .flatMap(({name}) => context.partitions.getHosts(name))
            .concat(context.partitions.getStoreHosts()),
        ],
        kind,
      );
      return {
        detail: `${zone}, ${kind}`,
        holdMs: context.drawMs(8, 20),
        end: async () => {
          await endPartition();
          endExemption();
        },
      };
    },
  },
  {
    name: 'connections stall',
    mayInterruptRequests: true,
    async start(context) {
      const [a = '', b = a] = drawZones(context, context.random.int(1, 2));
      await context.partitions.silenceConnections([
        context.partitions.getHosts(a),
        context.partitions.getHosts(b),
      ]);
      return {detail: `${a} and ${b}`, holdMs: 6_000, end: async () => {}};
    },
  },
];

function createPartitionFault(name: string, kind: PartitionKind): FaultKind {
  return {
    name,
    mayInterruptRequests: true,
    async start(context) {
      const [a = '', b = ''] = drawZones(context, 2);
      const end = await context.partitions.add(
        [context.partitions.getHosts(a), context.partitions.getHosts(b)],
        kind,
      );
      const detail = `${a} and ${b}`;
      return {detail, holdMs: context.drawMs(6, 15), end};
    },
  };
}

function drawZones({cluster, random}: FaultContext, count: number): string[] {
  return random.sample(cluster.topology.zones, count).map(({name}) => name);
}
