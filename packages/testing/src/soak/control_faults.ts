import {type StoreFaults, StoreOutage} from '../store/index.js';
import type {FaultContext, FaultKind} from './fault_context.js';

/** Lists the faults of the store and what operators do. */
export const CONTROL_FAULTS: FaultKind[] = [
  createStoreFault('store outage', ({random}) => ({
    outage: random.pick([StoreOutage.Refuse, StoreOutage.Hang]),
  })),
  createStoreFault('store slowness', ({random}) => ({
    slownessMs: random.int(200, 1_500),
  })),
  createStoreFault('lost write replies', ({random}) => ({
    loseReplies: 0.5,
    delayWrites: 0.3,
    delayMs: random.int(100, 4_000),
  })),
  {
    name: 'conflicting operators',
    mayCutRequests: false,
    async start({operator}) {
      const first = await operator.conflict();
      const second = await operator.conflict();
      const detail = `${first}; ${second}`;
      return {detail, holdMs: 6_000, end: async () => {}};
    },
  },
  createDrain('instance drain', 'instance', ({instances}) =>
    instances.map(({id}) => id),
  ),
  createDrain('endpoint drain', 'endpoint', ({endpoints}) =>
    endpoints.map(({id}) => id),
  ),
  createDrain('zone drain', 'zone', ({zones}) => zones.map(({name}) => name)),
];

function createStoreFault(
  name: string,
  draw: (context: FaultContext) => Partial<StoreFaults>,
): FaultKind {
  return {
    name,
    mayCutRequests: false,
    async start(context) {
      const faults = draw(context);
      const end = await context.addStoreFaults(faults);
      // Changes during the fault show whether one is lost or made twice.
      const conflict = await context.operator.conflict();
      const detail = `${JSON.stringify(faults)}, ${conflict}`;
      return {detail, holdMs: context.drawMs(5, 15), end};
    },
  };
}

function createDrain(
  name: string,
  kind: string,
  list: (topology: FaultContext['cluster']['topology']) => string[],
): FaultKind {
  return {
    name,
    mayCutRequests: false,
    async start({operator, random, cluster}) {
      const target = random.pick(list(cluster.topology));
      const change = (action: string) =>
        operator.change('drains', {action, kind, target});
      const isAccepted = await change('drain');
      return {
        detail: `${target}, ${isAccepted ? 'accepted' : 'not accepted'}`,
        holdMs: random.int(5_000, 10_000),
        end: () => change('undrain'),
      };
    },
  };
}
