import type {BackendFaults} from '../backend/index.js';
import type {FaultContext, FaultKind} from './fault_context.js';

/** Faults of backend servers and of the load on them. */
export const BACKEND_FAULTS: FaultKind[] = [
  {
    name: 'cold starts',
    mayInterruptRequests: true,
    async start(context) {
      const {name} = context.random.pick(context.cluster.topology.zones);
      const ids = context.claimEndpoints(4, {zone: name});
      await context.cluster.backend.call('crash', ids);
      return {
        detail: ids.join(', '),
        holdMs: context.drawMs(1, 4),
        end: async () => {
          await context.cluster.backend.call('start', ids, true);
          context.release(...ids);
        },
      };
    },
  },
  createBackendFault('lying health and load', true, ({random}) =>
    random.pick([
      {reportedHealth: false},
      {reportedInFlight: 0},
      {reportedInFlight: 99},
      {reportAgeMs: 10_000},
    ]),
  ),
  createBackendFault('crashes around runs', true, ({random}) => ({
    closeBeforeRunFraction: random.float() * 0.3,
    closeAfterRunFraction: random.float() * 0.3,
  })),
  createBackendFault('truncated bodies', true, () => ({truncateFraction: 0.2})),
  createBackendFault('shedding', false, () => ({shedFraction: 0.5})),
  {
    name: 'silent backend connections',
    mayInterruptRequests: true,
    async start(context) {
      const ids = context.claimEndpoints(5);
      await context.cluster.backend.call('silenceConnections', ids);
      context.release(...ids);
      return {detail: ids.join(', '), holdMs: 6_000, end: async () => {}};
    },
  },
  {
    name: 'backend drain',
    mayInterruptRequests: false,
    async start(context) {
      const ids = context.claimEndpoints(4);
      const {backend} = context.cluster;
      await backend.call('setDraining', ids, true);
      return {
        detail: ids.join(', '),
        holdMs: context.drawMs(7, 10),
        end: async () => {
          await backend.call('setDraining', ids, false);
          context.release(...ids);
        },
      };
    },
  },
  {
    name: 'overload',
    mayInterruptRequests: false,
    async start(context) {
      const {backend, callers, topology} = context.cluster;
      const service = topology.services.find(s => s.priority === 'urgent');
      // At the default rate, 306 requests per second with a mean service time of 0.6 s need
      // about twice the slots that the urgent service has in either example system.
      const ids = context.claimEndpoints(99, {service: service?.name});
      await backend.call('setFaults', ids, {serviceTimeFactor: 30});
      await callers.call('setRate', 3 * context.ratePerSecond);
      return {
        detail: `${service?.name} 30 times slower, 3 times the load`,
        holdMs: context.drawMs(5, 10),
        end: async () => {
          await callers.call('setRate', context.ratePerSecond);
          await backend.call('setFaults', ids, {});
          context.release(...ids);
        },
      };
    },
  },
];

function createBackendFault(
  name: string,
  mayInterruptRequests: boolean,
  drawFaults: (context: FaultContext) => Partial<BackendFaults>,
): FaultKind {
  return {
    name,
    mayInterruptRequests,
    async start(context) {
      const ids = context.claimEndpoints(6);
      const {backend} = context.cluster;
      const faults = drawFaults(context);
      await backend.call('setFaults', ids, faults);
      return {
        detail: `${ids.join(', ')} ${JSON.stringify(faults)}`,
        holdMs: context.drawMs(5, 10),
        end: async () => {
          await backend.call('setFaults', ids, {});
          context.release(...ids);
        },
      };
    },
  };
}
