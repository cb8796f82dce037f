import {combineToFraction, hash32} from './hash_fraction.js';
import {
  createMember,
  digestAnnouncement,
  isNewer,
  type Member,
  STALE_AFTER_MS,
} from './member.js';
import type {Heartbeats, MemberInfo} from './member_info.js';
import {
  MembershipDiscovery,
  type MembershipReply,
} from './membership_discovery.js';
import {RegionDemand} from './region_demand.js';

/**
 * Time without a new heartbeat after which an instance no longer counts as live, so that callers
 * are no longer directed to it.
 */
const SUSPECT_AFTER_MS = 3_000;
/** The same for instances of other regions, whose heartbeats arrive less often. */
const SUSPECT_REMOTE_AFTER_MS = 5_000;
/** Maximum age up to which the reported open requests of an instance are used. */
const MAX_OPEN_REQUESTS_AGE_MS = 15_000;
/**
 * Time without a new heartbeat after which an instance is forgotten and no longer has a share of
 * the limits that are divided among instances.
 */
const FORGET_AFTER_MS = 30_000;
/**
 * The same for an instance that did not announce its stop: it may be cut off and still use its share.
 */
const FORGET_SERVING_AFTER_MS = 600_000;
/**
 * Maximum increase of a heartbeat since the last known one of a process. A larger increase
 * indicates a restart.
 */
const MAX_HEARTBEAT_STEP = 1_000;

/** Largest capacity that is distinguished when instances are ranked, in cores. */
const MAX_CAPACITY = 1_000;
/** Instances whose capacities differ by less rank by hash, in cores. */
const CAPACITY_STEP = 0.25;

/**
 * Tracks the other instances by gossiped announcements and heartbeats. A heartbeat counts only if
 * it is higher than the last one, so that repeated and reordered messages are harmless.
 */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  private ownBornAtFloor = 0;
  private versionCount = 0;
  private readonly discovery = new MembershipDiscovery();
  private region?: string;

  /**
   * Creates an empty table.
   * @param self - Returns this instance's own announcement.
   */
  constructor(private readonly self: () => MemberInfo) {}

  /**
   * Minimum start time for which other instances accept this one as the newest process of its id.
   * It is above the actual start time if the wall clock was set back between two processes.
   */
  get minOwnBornAt(): number {
    return this.ownBornAtFloor;
  }

  /**
   * Counter that changes whenever the set of instances that may be alive changes, and with it the
   * ranks.
   */
  get version(): number {
    return this.versionCount;
  }

  /**
   * Merges announcements.
   * @param infos - Announcements, received directly or forwarded by another instance.
   * @param now - Monotonic time in milliseconds.
   * @returns Ids of the instances that were unknown or have restarted.
   */
  merge(infos: readonly MemberInfo[], now: number): string[] {
    const joined: string[] = [];
    const self = this.self();
    for (const info of infos) {
      if (info.id === self.id) {
        this.raiseOwnBornAtFloor(info, self);
        continue;
      }
      const known = this.members.get(info.id);
      if (known && info.bornAt < known.info.bornAt) continue;
      if (known?.info.bornAt !== info.bornAt) {
        joined.push(info.id);
        if (!known) this.discovery.recordJoin(now);
        const countedSince = known?.countedSince ?? now;
        this.members.set(info.id, {...createMember(info, now), countedSince});
        this.versionCount++;
        continue;
      }
      const isNewHeartbeat = info.heartbeat > known.info.heartbeat;
      const heartbeat = Math.max(info.heartbeat, known.info.heartbeat);
      if (info.version > known.info.version) known.announcementChangedAt = now;
      if (isNewer(info, known.info)) {
        known.info = {...info, heartbeat};
        known.isOnlyRegistered = false;
        known.openRequestsAt = now;
        known.digest = digestAnnouncement(info);
      } else known.info.heartbeat = heartbeat;
      if (isNewHeartbeat) known.lastHeartbeatAt = now;
    }
    return joined;
  }

  /**
   * Merges heartbeats of instances whose announcements are known.
   * @param heartbeats - Heartbeats by id.
   * @param now - Monotonic time in milliseconds.
   */
  mergeHeartbeats(heartbeats: Heartbeats, now: number): void {
    for (const [id, heartbeat] of Object.entries(heartbeats)) {
      const known = this.members.get(id);
      if (!known) continue;
      const step = heartbeat - known.info.heartbeat;
      // The heartbeat of a later process does not confirm the known announcement.
      if (step <= 0 || step > MAX_HEARTBEAT_STEP) continue;
      known.info.heartbeat = heartbeat;
      known.lastHeartbeatAt = now;
    }
  }

  /**
   * Adds instances from their registrations, which are no sign of liveness. Each may be running and
   * only be cut off from this one, so that it counts for divided limits.
   * @param infos - Registrations, possibly outdated.
   * @param now - Monotonic time in milliseconds.
   */
  addRegistered(infos: readonly MemberInfo[], now: number): void {
    const self = this.self();
    for (const info of infos) {
      if (info.id === self.id) {
        this.discovery.recordRegistration(self.bornAt - info.bornAt, now);
        continue;
      }
      if (this.members.has(info.id)) continue;
      const registered = {
        ...info,
        isServing: false,
        isFollowing: false,
        heartbeat: 0,
      };
      this.members.set(info.id, {
        ...createMember(registered, now),
        lastHeartbeatAt: now - STALE_AFTER_MS,
        announcementChangedAt: -Infinity,
        isOnlyRegistered: true,
      });
      this.versionCount++;
    }
  }

  /**
   * Removes instances without a recent heartbeat.
   * @param now - Monotonic time in milliseconds.
   * @returns Ids of the removed instances.
   */
  expire(now: number): string[] {
    const expired: string[] = [];
    for (const [id, {info, isOnlyRegistered, lastHeartbeatAt}] of this
      .members) {
      const mayBeServing = info.isServing || isOnlyRegistered;
      const limitMs = mayBeServing ? FORGET_SERVING_AFTER_MS : FORGET_AFTER_MS;
      if (now - lastHeartbeatAt < limitMs) continue;
      this.members.delete(id);
      this.versionCount++;
      expired.push(id);
    }
    return expired;
  }

  /** The other known instances, live or not. */
  get entries(): Iterable<Member> {
    return this.members.values();
  }

  /**
   * Returns whether an instance is considered live.
   * @param member - The instance.
   * @param now - Monotonic time in milliseconds.
   */
  isLive({info, lastHeartbeatAt}: Member, now: number): boolean {
    this.region ??= this.self().region;
    const limitMs =
      info.region === this.region ? SUSPECT_AFTER_MS : SUSPECT_REMOTE_AFTER_MS;
    return now - lastHeartbeatAt < limitMs;
  }

  /**
   * Returns the announcement of another instance.
   * @param id - Id of the instance.
   */
  get(id: string): MemberInfo | undefined {
    return this.members.get(id)?.info;
  }

  /** Returns this instance. */
  getSelf(): MemberInfo {
    return this.self();
  }

  /**
   * Returns the instances that are considered live, this one first.
   * @param now - Monotonic time in milliseconds.
   */
  getLive(now: number): MemberInfo[] {
    const live = [this.self()];
    for (const member of this.members.values()) {
      if (this.isLive(member, now)) live.push(member.info);
    }
    return live;
  }

  /**
   * Returns the live instances of a region, sorted by id.
   * @param region - Name of the region.
   * @param now - Monotonic time in milliseconds.
   */
  getRing(region: string, now: number): MemberInfo[] {
    return this.getLive(now)
      .filter(info => info.region === region)
      .sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  /**
   * Returns the live instances to which callers may be directed.
   * @param now - Monotonic time in milliseconds.
   */
  getServing(now: number): MemberInfo[] {
    return this.getLive(now).filter(({isServing}) => isServing);
  }

  /**
   * Returns the other instances that have served callers within a time, by what this one knows.
   * @param withinMs - The time in milliseconds.
   * @param now - Monotonic time in milliseconds.
   */
  getRecentlyServing(withinMs: number, now: number): MemberInfo[] {
    return [...this.members.values()]
      .filter(member => this.isLive(member, now - withinMs))
      .filter(
        ({info, announcementChangedAt}) =>
          info.isServing || now - announcementChangedAt < withinMs,
      )
      .map(({info}) => info);
  }

  /** Returns all other known instances, live or not. */
  getOthers(): MemberInfo[] {
    return [...this.members.values()].map(({info}) => info);
  }

  /**
   * Estimates the number of requests that all live instances have open at the endpoints of a
   * service. Not every instance reports to every other one, so the mean of the recent reports of a
   * region is used for its other instances.
   * @param service - Name of the service.
   * @param now - Monotonic time in milliseconds.
   */
  getOpenRequests(service: string, now: number): number {
    const self = this.self();
    const demand = new RegionDemand();
    demand.add(self, self.openRequests[service] ?? 0);
    for (const member of this.members.values()) {
      if (!this.isLive(member, now)) continue;
      const {info, openRequestsAt} = member;
      const isFresh = now - openRequestsAt < MAX_OPEN_REQUESTS_AGE_MS;
      const open = isFresh ? (info.openRequests[service] ?? 0) : undefined;
      demand.add(info, open);
    }
    return demand.total;
  }

  /**
   * Ranks this instance among all that may be alive, for an endpoint that only some of them may
   * use. Instances of the endpoint's region rank first because most of its requests arrive there,
   * and among them those with the largest capacity, to which callers are directed.
   * @param endpoint - Hash of the endpoint's id.
   * @param region - Region of the endpoint.
   * @returns The zero-based rank, which is unique among the instances.
   */
  getRankFor(endpoint: number, region: string | undefined): number {
    const self = this.self();
    const getKey = (info: MemberInfo, idHash: number) =>
      (info.region === region ? 0 : MAX_CAPACITY) +
      (MAX_CAPACITY - Math.min(info.capacity ?? 0, MAX_CAPACITY)) +
      combineToFraction(idHash, endpoint) * CAPACITY_STEP;
    const own = getKey(self, hash32(self.id));
    let rank = 0;
    for (const {info, idHash} of this.members.values()) {
      const key = getKey(info, idHash);
      if (key < own || (key === own && info.id < self.id)) rank++;
    }
    return rank;
  }

  /**
   * Marks the number of instances as unknown, because live ones may not have been discovered yet.
   * @param until - Monotonic time from which the known instances are considered complete in any case.
   */
  markMembershipUnknown(until: number): void {
    this.discovery.start(until);
  }

  /** Marks the known instances as complete. */
  markMembershipKnown(): void {
    this.discovery.end();
  }

  /**
   * Records that another instance has sent the members it knows.
   * @param reply - What the other instance says of the membership.
   * @param now - Monotonic time in milliseconds.
   */
  recordMembersReceived(reply: MembershipReply, now: number): void {
    this.discovery.recordReply(reply, now);
  }

  /**
   * Returns what this instance says of the membership to another one. The time for which that one
   * has counted for divided limits includes its earlier processes.
   * @param id - Id of the other instance.
   * @param now - Monotonic time in milliseconds.
   */
  createMembershipReply(id: string, now: number): MembershipReply {
    return {
      countedMs: now - (this.members.get(id)?.countedSince ?? now),
      isComplete: this.discovery.isComplete(now),
    };
  }

  /**
   * Returns the number by which limits over all instances are divided.
   * @param now - Monotonic time in milliseconds.
   * @returns The number of instances; Infinity while it is unknown.
   */
  getLimitDivisor(now: number): number {
    return this.discovery.isComplete(now) ? this.getCount() : Infinity;
  }

  /** Returns the upper bound of the number of live instances, including this one. */
  getCount(): number {
    return this.members.size + 1;
  }

  /**
   * Returns the time since the last new heartbeat of an instance, in milliseconds.
   * @param id - Id of the instance.
   * @param now - Monotonic time in milliseconds.
   */
  getHeartbeatAgeMs(id: string, now: number): number {
    return now - (this.members.get(id)?.lastHeartbeatAt ?? -Infinity);
  }

  private raiseOwnBornAtFloor(info: MemberInfo, self: MemberInfo): void {
    if (info.bornAt <= self.bornAt) return;
    this.ownBornAtFloor = Math.max(this.ownBornAtFloor, info.bornAt + 1);
  }
}
