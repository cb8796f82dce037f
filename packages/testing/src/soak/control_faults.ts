import {type StoreFaults, StoreOutage} from '../store/index.js';
import type {FaultContext, FaultKind} from './fault_context.js';

/** Faults of the store, and changes that operators make. */
export const CONTROL_FAULTS: FaultKind[] = [
  createStoreFault('store outage', ({random}) => ({
    outage: random.pick([StoreOutage.Refuse, StoreOutage.Hang]),
  })),
  createStoreFault('store slowness', ({random}) => ({
    addedLatencyMs: random.int(200, 1_500),
  })),
  createStoreFault('lost write replies', ({random}) => ({
    lostReplyFraction: 0.5,
    delayedWriteFraction: 0.3,
    writeDelayMs: random.int(100, 4_000),
  })),
  {
    name: 'conflicting operators',
    mayInterruptRequests: false,
    async start({operator}) {
      const first = await operator.makeConflictingChanges();
      const second = await operator.makeConflictingChanges();
      const detail = `${first}; ${second}`;
      return {detail, holdMs: 6_000, end: async () => {}};
    },
  },
  createDrainFault('instance drain', 'instance'),
  createDrainFault('endpoint drain', 'endpoint'),
  createDrainFault('zone drain', 'zone'),
];

function createStoreFault(
  name: string,
  drawFaults: (context: FaultContext) => Partial<StoreFaults>,
): FaultKind {
  return {
    name,
    mayInterruptRequests: false,
    async start(context) {
      const faults = drawFaults(context);
      const end = await context.addStoreFaults(faults);
      // Changes during the fault show whether one is lost or applied twice.
      const conflict = await context.operator.makeConflictingChanges();
      const detail = `${JSON.stringify(faults)}, ${conflict}`;
      return {detail, holdMs: context.drawMs(5, 15), end};
    },
  };
}

function createDrainFault(
  name: string,
  kind: 'instance' | 'endpoint' | 'zone',
): FaultKind {
  return {
    name,
    mayInterruptRequests: false,
    async start({operator, random, cluster, drains}) {
      const {instances, endpoints, zones} = cluster.topology;
      const targets = {
        instance: instances.map(({id}) => id),
        endpoint: endpoints.map(({id}) => id),
        zone: zones.map(zone => zone.name),
      };
      const target = random.pick(targets[kind]);
      const change = (action: string) =>
        operator.change('drains', {action, kind, target});
      const isAccepted = await change('drain');
      const drained = endpoints
        .filter(({id, zone}) => isAccepted && [id, zone].includes(target))
        .map(({id}) => ({endpoint: id, startMs: Date.now(), endMs: Infinity}));
      drains.push(...drained);
      return {
        detail: `${target}, ${isAccepted ? 'accepted' : 'not accepted'}`,
        holdMs: random.int(5_000, 10_000),
        end: () => {
          for (const drain of drained) drain.endMs = Date.now();
          return change('undrain');
        },
      };
    },
  };
}
