import {hash32} from './hash_fraction.js';

/** Describes an instance as it announces itself. */
export interface MemberInfo {
  id: string;
  zone: string;
  region: string;
  /** Address for control calls, `host:port`. */
  controlAddress: string;
  /** Address for callers, `host:port`. */
  callerAddress: string;
  /** Start of the process in Unix milliseconds; higher than that of its earlier processes. */
  bornAt: number;
  /** Rises with every change of what follows in an announcement, within one process. */
  version: number;
  /** Whether callers should be sent to it. */
  isServing: boolean;
  /** Whether it follows the registry itself at the moment. */
  isFollowing: boolean;
  /** Requests that the instance has open at the endpoints of each service, averaged. */
  openRequests: Readonly<Record<string, number>>;
  /**
   * Rises with every heartbeat of the process, from the start of the process on. It rises slower
   * than time in milliseconds, so that a later process begins above an earlier one.
   */
  heartbeat: number;
}

/** Last heartbeat of each instance by its id. */
export type Heartbeats = Readonly<Record<string, number>>;

/** Time without a new heartbeat after which callers are no longer sent to an instance. */
const SUSPECT_AFTER_MS = 3_000;
/**
 * Time without a new heartbeat after which another instance follows the registry in place of one.
 * A change must be in force within two seconds, also where the follower has just died.
 */
const REPLACE_FOLLOWER_AFTER_MS = 1_200;
/** Time without a new heartbeat after which an instance no longer counts for divided bounds. */
const FORGET_AFTER_MS = 30_000;
/** Heartbeats that one process can be ahead of its last announcement; more are a restart. */
const MAX_HEARTBEAT_STEP = 1_000;

/** Time for which a changed announcement is passed on without being asked for. */
const NEWS_MS = 1_500;

interface Member {
  info: MemberInfo;
  heardAt: number;
  /** Monotonic time at which this instance heard of the last change of the announcement. */
  changedAt: number;
}

/**
 * Holds the instances that are known from each other's heartbeats. A heartbeat is news only
 * where it is higher than the last, so that repeated and reordered messages are harmless.
 */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  private ownBornAtFloor = 0;

  /**
   * Creates the table.
   * @param self - Returns this instance's own announcement.
   */
  constructor(private readonly self: () => MemberInfo) {}

  /**
   * Least start time with which others take this instance for the newest process of its id. It
   * is above the own start where the time of day stepped back between two processes.
   */
  get leastOwnBornAt(): number {
    return this.ownBornAtFloor;
  }

  /**
   * Takes over announcements.
   * @param infos - Announcements, each from its instance or passed on by another.
   * @param now - Monotonic time in milliseconds.
   * @returns The ids of instances that were not known or have restarted.
   */
  merge(infos: readonly MemberInfo[], now: number): string[] {
    const joined: string[] = [];
    const self = this.self();
    for (const info of infos) {
      if (info.id === self.id) {
        this.noteOwnProcess(info, self);
        continue;
      }
      const known = this.members.get(info.id);
      if (known && info.bornAt < known.info.bornAt) continue;
      if (known?.info.bornAt !== info.bornAt) {
        joined.push(info.id);
        this.members.set(info.id, {info, heardAt: now, changedAt: now});
        continue;
      }
      const isNews = info.heartbeat > known.info.heartbeat;
      if (info.version > known.info.version) known.changedAt = now;
      const newest = isNewer(info, known.info) ? info : known.info;
      const heartbeat = Math.max(info.heartbeat, known.info.heartbeat);
      known.info = {...newest, heartbeat};
      if (isNews) known.heardAt = now;
    }
    return joined;
  }

  /**
   * Takes over heartbeats of instances whose announcements are known.
   * @param heartbeats - Heartbeats by id.
   * @param now - Monotonic time in milliseconds.
   */
  mergeHeartbeats(heartbeats: Heartbeats, now: number): void {
    for (const [id, heartbeat] of Object.entries(heartbeats)) {
      const known = this.members.get(id);
      if (!known) continue;
      const step = heartbeat - known.info.heartbeat;
      // The heartbeat of a later process says nothing of the announcement that is known.
      if (step <= 0 || step > MAX_HEARTBEAT_STEP) continue;
      known.info = {...known.info, heartbeat};
      known.heardAt = now;
    }
  }

  /**
   * Returns the heartbeats that may still be news to others, this instance's own included.
   * @param now - Monotonic time in milliseconds.
   */
  getHeartbeats(now: number): Heartbeats {
    return Object.fromEntries(
      this.getAnnouncements(now).map(({id, heartbeat}) => [id, heartbeat]),
    );
  }

  /**
   * Digests the announcements of live instances without their heartbeats, so that two instances
   * tell by one number whether they know the same of all.
   * @param now - Monotonic time in milliseconds.
   */
  getDigest(now: number): number {
    return this.getAnnouncements(now).reduce(
      (digest, {id, bornAt, version}) =>
        digest ^ hash32(`${id} ${bornAt} ${version}`),
      0,
    );
  }

  /**
   * Returns the announcements that changed lately and may be news to others.
   * @param now - Monotonic time in milliseconds.
   */
  getNews(now: number): MemberInfo[] {
    return [...this.members.values()]
      .filter(({changedAt}) => now - changedAt < NEWS_MS)
      .map(({info}) => info);
  }

  /**
   * Returns an announcement that makes others take a process for an earlier one of its id.
   * @param info - What the process announces.
   */
  getLaterProcess(info: MemberInfo): MemberInfo | undefined {
    const known = this.members.get(info.id)?.info;
    return known && known.bornAt > info.bornAt ? known : undefined;
  }

  /**
   * Takes over registrations, which say where an instance is but not that it lives.
   * @param infos - Registrations; they may be old.
   * @param now - Monotonic time in milliseconds.
   */
  learn(infos: readonly MemberInfo[], now: number): void {
    const selfId = this.self().id;
    for (const info of infos) {
      if (info.id === selfId || this.members.has(info.id)) continue;
      const registered = {
        ...info,
        isServing: false,
        isFollowing: false,
        heartbeat: 0,
      };
      this.members.set(info.id, {
        info: registered,
        heardAt: now,
        changedAt: -Infinity,
      });
    }
  }

  /**
   * Removes instances that have been silent for long.
   * @param now - Monotonic time in milliseconds.
   * @returns Their ids.
   */
  expire(now: number): string[] {
    const expired: string[] = [];
    for (const [id, {heardAt}] of this.members) {
      if (now - heardAt < FORGET_AFTER_MS) continue;
      this.members.delete(id);
      expired.push(id);
    }
    return expired;
  }

  /**
   * Returns all announcements that may still be news to others, this instance's own first.
   * @param now - Monotonic time in milliseconds.
   */
  getAnnouncements(now: number): MemberInfo[] {
    return [
      this.self(),
      ...[...this.members.values()]
        .filter(({heardAt}) => now - heardAt < SUSPECT_AFTER_MS)
        .map(({info}) => info),
    ];
  }

  /**
   * Returns the instances to which callers may be sent.
   * @param now - Monotonic time in milliseconds.
   */
  getServing(now: number): MemberInfo[] {
    return this.getAnnouncements(now).filter(({isServing}) => isServing);
  }

  /** Returns all other instances that are known, live or not. */
  getOthers(): MemberInfo[] {
    return [...this.members.values()].map(({info}) => info);
  }

  /**
   * Returns the instances of this one's region that follow the registry, this one not included.
   * @param now - Monotonic time in milliseconds.
   */
  getFollowers(now: number): MemberInfo[] {
    const {region} = this.self();
    return [...this.members.values()]
      .filter(({heardAt}) => now - heardAt < REPLACE_FOLLOWER_AFTER_MS)
      .map(({info}) => info)
      .filter(info => info.isFollowing && info.region === region);
  }

  /**
   * Says whether this instance should follow the registry: the first of a region does, and the
   * others where none ahead of them does.
   * @param now - Monotonic time in milliseconds.
   */
  shouldFollow(now: number): boolean {
    const {id} = this.self();
    return !this.getFollowers(now).some(follower => follower.id < id);
  }

  /**
   * Returns the number of live instances of this one's region whose ids are lower.
   * @param now - Monotonic time in milliseconds.
   */
  getRegionRank(now: number): number {
    const {id, region} = this.self();
    return this.getAnnouncements(now).filter(
      other => other.region === region && other.id < id,
    ).length;
  }

  /**
   * Returns the requests that all live instances have open at the endpoints of a service.
   * @param service - Name of the service.
   * @param now - Monotonic time in milliseconds.
   */
  getOpenRequests(service: string, now: number): number {
    let sum = 0;
    for (const {openRequests} of this.getAnnouncements(now)) {
      sum += openRequests[service] ?? 0;
    }
    return sum;
  }

  /** Returns the most instances that may be alive, this one included. */
  getCount(): number {
    return this.members.size + 1;
  }

  /**
   * Says how long an instance has been silent.
   * @param id - Its id.
   * @param now - Monotonic time in milliseconds.
   */
  getSilenceMs(id: string, now: number): number {
    return now - (this.members.get(id)?.heardAt ?? -Infinity);
  }

  private noteOwnProcess(info: MemberInfo, self: MemberInfo): void {
    if (info.bornAt <= self.bornAt) return;
    this.ownBornAtFloor = Math.max(this.ownBornAtFloor, info.bornAt + 1);
  }
}

/** Compares two announcements of one process. */
function isNewer(info: MemberInfo, known: MemberInfo): boolean {
  if (info.version !== known.version) return info.version > known.version;
  return info.heartbeat > known.heartbeat;
}
