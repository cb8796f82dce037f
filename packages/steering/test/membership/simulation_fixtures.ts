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
/** Simulated process of an instance. */
export interface SimulatedProcess {
  id: string;
  config: MembershipConfig;
  state: MembershipState;
  /** Rate of its clock relative to virtual time. */
  clockRate: number;
  pausedUntil: number;
  isEnded: boolean;
  /** Requests in flight by endpoint id. */
  inFlight: Map<string, number>;
  /** Delays the end of a stopping process. */
  isBusy: boolean;
  /** Calls deferred until the end of a pause. */
  deferredCalls: Array<() => void>;
}

/** Network cut in one direction; each side is an instance id or `PLATFORM`. */
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
  /** Maximum delay of a message in milliseconds. */
  maxDelayMs?: number;
  /** Returns the lag of one read of the platform's list in milliseconds. */
  getListLagMs?: () => number;
  listEveryMs?: number;
}

/** Overrides for the configuration of a starting process. */
export interface StartOptions {
  isInSettings?: boolean;
  incarnation?: number;
  digest?: string;
  getOrders?: MembershipConfig['getOrders'];
}

/** Period in which the platform's list contains an instance. */
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
