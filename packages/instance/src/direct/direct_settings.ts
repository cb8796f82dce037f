import type {MachineResources, QuotaTolerance} from '@primrosestage/steering';

/** Configures an instance that sends requests directly to endpoints. */
export interface DirectSettings {
  id: string;
  zone: string;
  region: string;
  /** Region of each zone. */
  regionsByZone: ReadonlyMap<string, string>;
  /** Address for callers, `host:port`. */
  callerAddress: string;
  readinessAddress: string;
  directoryAddress: string;
  /** Address for control calls between instances. */
  controlAddress: string;
  /** Address for datagrams between instances. */
  gossipAddress: string;
  /** Control addresses of some instances; they may be stale. */
  seedAddresses: readonly string[];
  /** Whether the whole system starts for the first time, with all instances together. */
  isSystemStart: boolean;
  bounds: DirectBounds;
  /** Resources from which limits follow; undefined if they are not known. */
  machine?: MachineResources;
}

/** Tolerance of the request quotas of client accounts over all instances. */
export type QuotaBounds = QuotaTolerance;

/** Limits that hold across all instances. */
export interface DirectBounds {
  /** Retry budget: repeated attempts per request of a service. */
  repeatRatio: number;
  /** Repeated attempts of a service per window in addition to the ratio. */
  repeatSlack: number;
  repeatWindowMs: number;
  /** Factor on the requests per second that the service allows a cold endpoint. */
  coldFactor: number;
  /** Requests per second to a cold endpoint in addition to that. */
  coldSlack: number;
  /** Largest fraction of a region's requests that may move between regions in two seconds. */
  maxShift: number;
  /** Time after which a leaving endpoint must receive no requests, in milliseconds. */
  drainMs: number;
  /** Longest time of a planned stop, after which the process is killed. */
  stopTimeoutMs: number;
  /** Longest time for which callers may cache a directory response, in milliseconds. */
  maxDirectoryTtlMs: number;
  /** Tolerance of quotas; undefined if the quotas of accounts are not enforced. */
  quota?: QuotaBounds;
}
