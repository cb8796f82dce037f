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

/** Entry of an instance in the platform's instance list; addresses are `host:port`. */
export interface ListedInstance {
  id: string;
  zone: string;
  region: string;
  internal: string;
  public: string;
}

/** Timing settings of membership, in milliseconds. */
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
  /** Reads the platform's instance list; without it, a vanished instance never counts as gone. */
  readPlatformList?: () => Promise<readonly ListedInstance[]>;
  /** Interval of reads of the list, at most a third of its validity for takeovers. */
  listIntervalMs?: number;
  /** Maximum lag of the list. */
  listLagMs?: number;
  /** Suspicion timeout, after which a suspected member is removed. */
  suspicionMs?: number;
  /** Gets the payload of heartbeats: key prefix, digest and free slots. */
  getPayload?: () => unknown;
  /** Handles the heartbeat payload of another instance. */
  handlePayload?: (peerId: string, payload: unknown) => void;
  /** Gets the number of requests in flight from this instance to an endpoint of its region. */
  getInFlight?: (endpoint: Endpoint) => number;
  /** Returns a random number from 0 up to, but not including, 1. */
  random?: () => number;
}
