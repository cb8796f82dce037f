import {CutKind} from '../faults/index.js';
import type {FaultContext, FaultKind} from './fault_context.js';

/** Lists the faults of connections between zones and to the store. */
export const NETWORK_FAULTS: FaultKind[] = [
  createCut('zones cut, refused', CutKind.Refused),
  createCut('zones cut, silent', CutKind.Silent),
  {
    name: 'store cut off from zones',
    mayCutRequests: false,
    async start(context) {
      const zones = drawZones(context, context.random.int(1, 3));
      const kind = context.random.pick(Object.values(CutKind));
      const end = await context.cuts.add(
        [
          zones.flatMap(zone => context.cuts.getHosts(zone)),
          context.cuts.getStoreHosts(),
        ],
        kind,
      );
      const detail = `${zones.join(', ')}, ${kind}`;
      return {detail, holdMs: context.drawMs(6, 15), end};
    },
  },
  {
    name: 'zone isolated',
    mayCutRequests: true,
    async start(context) {
      const [zone = ''] = drawZones(context, 1);
      const {zones, instances} = context.cluster.topology;
      const others = zones.filter(({name}) => name !== zone);
      const kind = context.random.pick(Object.values(CutKind));
      const endExemption = context.exempt(
        ...instances.filter(i => i.zone === zone).map(({id}) => id),
      );
      const endCut = await context.cuts.add(
        [
          context.cuts.getHosts(zone),
          others
            .flatMap(({name}) => context.cuts.getHosts(name))
            .concat(context.cuts.getStoreHosts()),
        ],
        kind,
      );
      return {
        detail: `${zone}, ${kind}`,
        holdMs: context.drawMs(8, 20),
        end: async () => {
          await endCut();
          endExemption();
        },
      };
    },
  },
  {
    name: 'connections stall',
    mayCutRequests: true,
    async start(context) {
      const [a = '', b = a] = drawZones(context, context.random.int(1, 2));
      await context.cuts.stall([
        context.cuts.getHosts(a),
        context.cuts.getHosts(b),
      ]);
      return {detail: `${a} and ${b}`, holdMs: 6_000, end: async () => {}};
    },
  },
];

function createCut(name: string, kind: CutKind): FaultKind {
  return {
    name,
    mayCutRequests: true,
    async start(context) {
      const [a = '', b = ''] = drawZones(context, 2);
      const end = await context.cuts.add(
        [context.cuts.getHosts(a), context.cuts.getHosts(b)],
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
