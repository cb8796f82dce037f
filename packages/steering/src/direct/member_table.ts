/** Describes an instance as it announces itself. */
export interface MemberInfo {
  id: string;
  zone: string;
  region: string;
  /** Address for control calls, `host:port`. */
  controlAddress: string;
  /** Address for callers, `host:port`. */
  callerAddress: string;
  /** Start of the process in Unix milliseconds. */
  bornAt: number;
  /** Whether callers should be sent to it. */
  isServing: boolean;
  /** Whether it follows the registry itself at the moment. */
  isFollowing: boolean;
  /** Requests that the instance has open at the endpoints of each service, averaged. */
  openRequests: Readonly<Record<string, number>>;
  /** Rises with every heartbeat of the process. */
  heartbeat: number;
}

/** Time without a new heartbeat after which callers are no longer sent to an instance. */
const SUSPECT_AFTER_MS = 3_000;
/**
 * Time without a new heartbeat after which another instance follows the registry in place of one.
 * A change must be in force within two seconds, also where the follower has just died.
 */
const REPLACE_FOLLOWER_AFTER_MS = 1_200;
/** Time without a new heartbeat after which an instance no longer counts for divided bounds. */
const FORGET_AFTER_MS = 30_000;

interface Member {
  info: MemberInfo;
  heardAt: number;
}

/**
 * Holds the instances that are known from each other's heartbeats. A heartbeat is news only
 * where it is higher than the last, so that repeated and reordered messages are harmless.
 */
export class MemberTable {
  private readonly members = new Map<string, Member>();

  /**
   * Creates the table.
   * @param self - Returns this instance's own announcement.
   */
  constructor(private readonly self: () => MemberInfo) {}

  /**
   * Takes over announcements.
   * @param infos - Announcements, each from its instance or passed on by another.
   * @param now - Monotonic time in milliseconds.
   * @returns The ids of instances that were not known or have restarted.
   */
  merge(infos: readonly MemberInfo[], now: number): string[] {
    const joined: string[] = [];
    const selfId = this.self().id;
    for (const info of infos) {
      if (info.id === selfId) continue;
      const known = this.members.get(info.id);
      if (known && !isNewer(info, known.info)) continue;
      if (known?.info.bornAt !== info.bornAt) joined.push(info.id);
      this.members.set(info.id, {info, heardAt: now});
    }
    return joined;
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
      this.members.set(info.id, {info: registered, heardAt: now});
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
}

function isNewer(info: MemberInfo, known: MemberInfo): boolean {
  if (info.bornAt !== known.bornAt) return info.bornAt > known.bornAt;
  return info.heartbeat > known.heartbeat;
}
