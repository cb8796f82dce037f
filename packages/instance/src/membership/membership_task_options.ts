import type {
  ConnectFunction,
  Logger,
  TimerService,
} from '@primrosestage/common';
import type {
  Endpoint,
  Hash64,
  InstanceInfo,
  Topology,
} from '@primrosestage/steering';

/** Names an instance in the platform's list; addresses are `host:port`. */
export interface ListedInstance {
  id: string;
  zone: string;
  region: string;
  internal: string;
  public: string;
}

/** Holds the times of membership, in milliseconds; the settings give them. */
export interface MembershipTiming {
  heartbeatMs: number;
  fenceAfterMs: number;
  takeoverAfterMs: number;
  joinAfterMs: number;
  maxRequestMs: number;
}

/** Configures the membership of an instance. */
export interface MembershipTaskOptions {
  topology: Topology;
  self: InstanceInfo;
  /** Start time of the process in milliseconds since the Unix epoch. */
  incarnation: number;
  hash: Hash64;
  timing: MembershipTiming;
  timers: TimerService;
  logger: Logger;
  connect: ConnectFunction;
  /** Reads the platform's list; without it no instance that only vanished counts as gone. */
  readPlatformList?: () => Promise<readonly ListedInstance[]>;
  /** Time between reads of the list, at most a third of its validity for takeovers. */
  listIntervalMs?: number;
  /** Bound of the lag of the list. */
  listLagMs?: number;
  /** Time for which a member is suspected before it is removed. */
  suspicionMs?: number;
  /** Gives the payload of heartbeats: key epoch, digest, free slots, drains. */
  getPayload?: () => unknown;
  /** Takes the payload of another instance. */
  handlePayload?: (peerId: string, payload: unknown) => void;
  /** Gives the requests in flight from this instance at an endpoint of its region. */
  getInFlight?: (endpoint: Endpoint) => number;
  /** Gives a number from 0 to 1, 1 excluded. */
  random?: () => number;
}
