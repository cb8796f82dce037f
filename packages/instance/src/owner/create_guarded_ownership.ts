import type {TimerService} from '@primrosestage/common';
import type {
  Endpoint,
  EndpointOwnership,
  Topology,
} from '@primrosestage/steering';
import type {LoadReport} from './probe_endpoint.js';

/** Maximum age of a load report that lowers a limit, in milliseconds. */
const MAX_REPORT_AGE_MS = 2_000;

/** Configures a guarded ownership. */
export interface GuardedOwnershipOptions {
  ownership: EndpointOwnership;
  topology: Topology;
  timers: TimerService;
  /** Returns whether requests of a previous owner may still run at an endpoint. */
  mayEarlierRequestsRun(endpointId: string): boolean;
  getLoadReport(endpointId: string): LoadReport | undefined;
  /** Gets the number of this instance's requests in flight at an endpoint. */
  getInFlight(endpoint: Endpoint): number;
}

/**
 * Wraps an ownership and lowers its limits after a takeover. Requests that an endpoint reports
 * beyond those of this instance are deducted from its slots, because a previous owner may have
 * admitted them just before it was fenced.
 * @param options - The ownership, and access to load reports and request counts.
 * @returns The ownership with lowered limits.
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
