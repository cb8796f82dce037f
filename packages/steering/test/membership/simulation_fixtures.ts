import type {
  Endpoint,
  InstanceInfo,
  MembershipConfig,
  MembershipState,
} from '@primrosestage/steering';

export const TIMING = {
  fenceAfterMs: 2_000,
  takeoverAfterMs: 6_000,
  joinAfterMs: 15_000,
  maxRequestMs: 30_000,
  listLagMs: 10_000,
};
export const HEARTBEAT_MS = 500;
export const SUSPICION_MS = 3_000;
/** Runs one process of an instance. */
export interface SimulatedProcess {
  id: string;
  config: MembershipConfig;
  state: MembershipState;
  /** Rate of its clock relative to true time. */
  clockRate: number;
  pausedUntil: number;
  isEnded: boolean;
  /** Requests in flight by endpoint id. */
  inFlight: Map<string, number>;
  /** Delays the end of a stopping process. */
  isBusy: boolean;
  /** Calls that wait for the end of a pause. */
  deferredCalls: Array<() => void>;
}

/** Describes a cut between instances; `platform` is a name like an instance id. */
export interface Cut {
  from: string;
  to: string;
  fromMs: number;
  untilMs: number;
}

export interface SimulationOptions {
  seed: number;
  members: InstanceInfo[];
  endpoints: Endpoint[];
  /** Longest delay of a message in milliseconds. */
  maxDelayMs?: number;
  /** Lag of a read of the platform's list in milliseconds. */
  getListLagMs?: () => number;
  listEveryMs?: number;
}

/** Replaces parts of a process that starts. */
export interface StartOptions {
  isInSettings?: boolean;
  incarnation?: number;
  digest?: string;
  getOrders?: MembershipConfig['getOrders'];
}

/** Holds the time in which the platform lists an instance. */
export interface Listing {
  info: InstanceInfo;
  fromMs: number;
  untilMs: number;
}

export const PLATFORM = 'platform';

export function createInstanceInfo(
  id: string,
  zone: string,
  region: string,
): InstanceInfo {
  const address = `${id}:1`;
  return {
    id,
    zone,
    region,
    publicAddress: address,
    internalAddress: address,
    adminAddress: address,
  };
}

export function createEndpoint(
  id: string,
  zone: string,
  region: string,
  slots: number,
): Endpoint {
  return {
    id,
    team: 't',
    service: 's',
    zone,
    region,
    address: `${id}:1`,
    slots,
    maxConnections: 100,
  };
}
