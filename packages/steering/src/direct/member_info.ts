/** Announcement that an instance makes of itself. */
export interface MemberInfo {
  id: string;
  zone: string;
  region: string;
  /** Address for control calls, `host:port`. */
  controlAddress: string;
  /** Address for gossip datagrams, `host:port`. */
  gossipAddress: string;
  /** Address for callers, `host:port`. */
  callerAddress: string;
  /** Start time of the process in Unix milliseconds; increases with every restart of the id. */
  bornAt: number;
  /**
   * Increases within one process with every change of the fields below, except the open requests
   * and the heartbeat.
   */
  version: number;
  /** Whether callers should be directed to the instance. */
  isServing: boolean;
  /** Whether the instance watches the registry at present. */
  isFollowing: boolean;
  /** Average number of requests that the instance has open, by service. */
  openRequests: Readonly<Record<string, number>>;
  /** Processing capacity of its machine in cores; undefined if it is not known. */
  capacity?: number;
  /** Fraction of the capacity that was in use recently; sent with the open requests. */
  utilization?: number;
  /**
   * Increases with every heartbeat of the process, starting from its start time. It increases more
   * slowly than time in milliseconds, so that a later process starts above an earlier one.
   */
  heartbeat: number;
}

/** Last heartbeat of each instance, by id. */
export type Heartbeats = Readonly<Record<string, number>>;

/** Hash of each instance's announcement without heartbeat and open requests, by id. */
export type AnnouncementDigests = Readonly<Record<string, number>>;
