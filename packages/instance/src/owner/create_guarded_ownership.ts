import type {TimerService} from '@primrosestage/common';
import type {
  Endpoint,
  EndpointOwnership,
  Topology,
} from '@primrosestage/steering';
import type {LoadReport} from './probe_endpoint.js';

/** Age up to which a load report counts, in milliseconds. */
const MAX_REPORT_AGE_MS = 2_000;

/** Configures the guard. */
export interface GuardedOwnershipOptions {
  ownership: EndpointOwnership;
  topology: Topology;
  timers: TimerService;
  /** Says whether requests of an earlier owner may still run at an endpoint. */
  mayEarlierRequestsRun(endpointId: string): boolean;
  getLoadReport(endpointId: string): LoadReport | undefined;
  /** Gets the requests of this instance in flight at an endpoint. */
  getInFlight(endpoint: Endpoint): number;
}

/**
 * Lowers limits after a takeover by the requests that an endpoint reports beyond those of this
 * instance, because an earlier owner may have admitted them just before it was fenced.
 * @param options - Ownership, reports and counts.
 * @returns The ownership with the lowered limits.
 */
export function createGuardedOwnership(
  options: GuardedOwnershipOptions,
): EndpointOwnership {
  const {ownership, topology, timers} = options;
  return {
    getOwner: endpointId => ownership.getOwner(endpointId),
    getLimit(endpointId) {
      const limit = ownership.getLimit(endpointId);
      if (limit === 0 || !options.mayEarlierRequestsRun(endpointId)) {
        return limit;
      }
      const endpoint = topology.getEndpoint(endpointId);
      const report = options.getLoadReport(endpointId);
      const isFresh = report && timers.now() - report.at <= MAX_REPORT_AGE_MS;
      if (!endpoint || !isFresh) return limit;
      const otherInFlight = report.inFlight - options.getInFlight(endpoint);
      return Math.max(
        0,
        Math.min(limit, endpoint.slots - Math.max(0, otherInFlight)),
      );
    },
  };
}
