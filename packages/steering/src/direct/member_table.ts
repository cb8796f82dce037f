import {chooseStandbys} from './choose_standbys.js';
import {combineToFraction, hash32} from './hash_fraction.js';
import {
  createMember,
  digestAnnouncement,
  isNewer,
  type Member,
} from './member.js';
import type {
  AnnouncementDigests,
  Heartbeats,
  MemberInfo,
} from './member_info.js';
import {RegionDemand} from './region_demand.js';

/** Time without a new heartbeat after which callers are no longer sent to an instance. */
const SUSPECT_AFTER_MS = 3_000;
/** The same for instances of other regions, whose heartbeats come less often. */
const SUSPECT_REMOTE_AFTER_MS = 5_000;
/** Time without a new heartbeat after which an announcement is no longer passed on. */
const STALE_AFTER_MS = 8_000;
/**
 * Time without a new heartbeat after which a reserve follows the registry in place of an instance.
 * A change must be in force within two seconds, also where the follower has just died.
 */
const REPLACE_FOLLOWER_AFTER_MS = 1_200;
/** The same for instances that are no reserve and hear of the follower through others. */
const REPLACE_STANDBYS_AFTER_MS = 3_000;
/** Age up to which the open requests of an instance are taken for its present ones. */
const MAX_OPEN_REQUESTS_AGE_MS = 15_000;
/** Part of the heartbeats of a message that is kept for the own region. */
const OWN_REGION_FRACTION = 0.75;
/** Time without a new heartbeat after which an instance no longer counts for divided bounds. */
const FORGET_AFTER_MS = 30_000;
/** Heartbeats that one process can be ahead of its last announcement; more are a restart. */
const MAX_HEARTBEAT_STEP = 1_000;

/** Time for which a changed announcement is passed on without being asked for. */
const FORWARD_CHANGES_MS = 1_500;

/**
 * Holds the instances that are known from each other's heartbeats. A heartbeat is news only
 * where it is higher than the last, so that repeated and reordered messages are harmless.
 */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  private ownBornAtFloor = 0;
  private messageCount = 0;
  private versionCount = 0;
  private membershipUnknownUntil = -Infinity;
  private region?: string;

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

  /** Number that changes whenever the instances that may be alive change, and with them ranks. */
  get version(): number {
    return this.versionCount;
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
        this.raiseOwnBornAtFloor(info, self);
        continue;
      }
      const known = this.members.get(info.id);
      if (known && info.bornAt < known.info.bornAt) continue;
      if (known?.info.bornAt !== info.bornAt) {
        joined.push(info.id);
        this.members.set(info.id, createMember(info, now));
        this.versionCount++;
        continue;
      }
      const isNewHeartbeat = info.heartbeat > known.info.heartbeat;
      const heartbeat = Math.max(info.heartbeat, known.info.heartbeat);
      if (info.version > known.info.version) known.announcementChangedAt = now;
      if (isNewer(info, known.info)) {
        known.info = {...info, heartbeat};
        known.openRequestsAt = now;
        known.digest = digestAnnouncement(info);
      } else known.info.heartbeat = heartbeat;
      if (isNewHeartbeat) known.lastHeartbeatAt = now;
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
      known.info.heartbeat = heartbeat;
      known.lastHeartbeatAt = now;
    }
  }

  /**
   * Chooses the heartbeats for a message: those that were passed on longest ago, most of them of
   * the own region. The size of a message is bounded whatever the number of instances.
   * @param max - Most heartbeats of other instances.
   * @param now - Monotonic time in milliseconds.
   */
  takeHeartbeats(max: number, now: number): Heartbeats {
    const {region} = this.self();
    const own: Member[] = [];
    const remote: Member[] = [];
    for (const member of this.members.values()) {
      if (!this.isLive(member, now)) continue;
      (member.info.region === region ? own : remote).push(member);
    }
    const remoteMax = Math.max(
      max - own.length,
      max * (1 - OWN_REGION_FRACTION),
    );
    const chosen = selectLeastRecentlyForwarded(remote, Math.floor(remoteMax));
    chosen.push(...selectLeastRecentlyForwarded(own, max - chosen.length));
    this.messageCount++;
    for (const member of chosen) member.lastForwardedIn = this.messageCount;
    return Object.fromEntries(
      chosen.map(({info}) => [info.id, info.heartbeat]),
    );
  }

  /**
   * Digests the announcements of live instances without their heartbeats, so that two instances
   * tell by one number whether they know the same of all.
   * @param now - Monotonic time in milliseconds.
   */
  getDigest(now: number): number {
    let digest = digestAnnouncement(this.self());
    for (const member of this.members.values()) {
      if (now - member.lastHeartbeatAt < STALE_AFTER_MS)
        digest ^= member.digest;
    }
    return digest;
  }

  /**
   * Returns the announcements that changed lately and may be news to others, the latest first.
   * @param max - Most announcements; digests show others that they lack further ones.
   * @param now - Monotonic time in milliseconds.
   */
  getNews(max: number, now: number): MemberInfo[] {
    return [...this.members.values()]
      .filter(
        ({announcementChangedAt}) =>
          now - announcementChangedAt < FORWARD_CHANGES_MS,
      )
      .sort((a, b) => b.announcementChangedAt - a.announcementChangedAt)
      .slice(0, max)
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
        ...createMember(registered, now),
        lastHeartbeatAt: now - STALE_AFTER_MS,
        announcementChangedAt: -Infinity,
      });
      this.versionCount++;
    }
  }

  /**
   * Removes instances that have been silent for long.
   * @param now - Monotonic time in milliseconds.
   * @returns Their ids.
   */
  expire(now: number): string[] {
    const expired: string[] = [];
    for (const [id, {lastHeartbeatAt}] of this.members) {
      if (now - lastHeartbeatAt < FORGET_AFTER_MS) continue;
      this.members.delete(id);
      this.versionCount++;
      expired.push(id);
    }
    return expired;
  }

  /**
   * Returns the digests of the announcements that may still be news to others, by id, so that
   * another instance tells only what differs.
   * @param now - Monotonic time in milliseconds.
   */
  getDigests(now: number): AnnouncementDigests {
    const digests: Record<string, number> = {};
    for (const [id, member] of this.members) {
      if (now - member.lastHeartbeatAt < STALE_AFTER_MS)
        digests[id] = member.digest;
    }
    return digests;
  }

  /**
   * Returns the announcements of other instances that one with other digests lacks.
   * @param digests - What it has.
   * @param now - Monotonic time in milliseconds.
   */
  getAnnouncementsUnlike(
    digests: AnnouncementDigests,
    now: number,
  ): MemberInfo[] {
    const infos: MemberInfo[] = [];
    for (const [id, member] of this.members) {
      const isFresh = now - member.lastHeartbeatAt < STALE_AFTER_MS;
      if (isFresh && digests[id] !== member.digest) infos.push(member.info);
    }
    return infos;
  }

  /**
   * Returns the instances that are taken to be alive, this one first.
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
   * Returns the live instances of a region in the order of their ids.
   * @param region - The region.
   * @param now - Monotonic time in milliseconds.
   */
  getRing(region: string, now: number): MemberInfo[] {
    return this.getLive(now)
      .filter(info => info.region === region)
      .sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  /**
   * Returns the live instances that take over first where this one follows the registry and
   * dies: the next of its region and the first of each other zone, so that the loss of a zone
   * leaves one.
   * @param now - Monotonic time in milliseconds.
   */
  getReserves(now: number): MemberInfo[] {
    const {id, region, zone} = this.self();
    return chooseStandbys(this.getRing(region, now), id, zone);
  }

  /**
   * Returns the instances to which callers may be sent.
   * @param now - Monotonic time in milliseconds.
   */
  getServing(now: number): MemberInfo[] {
    return this.getLive(now).filter(({isServing}) => isServing);
  }

  /** Returns all other instances that are known, live or not. */
  getOthers(): MemberInfo[] {
    return [...this.members.values()].map(({info}) => info);
  }

  /**
   * Returns the instances of this one's region that follow the registry, this one not included.
   * @param now - Monotonic time in milliseconds.
   */
  getOtherFollowers(now: number): MemberInfo[] {
    const {id, region} = this.self();
    return [...this.members.values()]
      .filter(({info}) => info.isFollowing && info.region === region)
      .filter(({info, lastHeartbeatAt}) => {
        const heartbeatAgeMs = now - lastHeartbeatAt;
        if (heartbeatAgeMs < REPLACE_FOLLOWER_AFTER_MS) return true;
        if (heartbeatAgeMs >= REPLACE_STANDBYS_AFTER_MS) return false;
        const standbys = chooseStandbys(
          this.getRing(region, now),
          info.id,
          info.zone,
        );
        return !standbys.some(standby => standby.id === id);
      })
      .map(({info}) => info);
  }

  /**
   * Says whether this instance should follow the registry: the first of a region does, and the
   * others where none ahead of them does.
   * @param now - Monotonic time in milliseconds.
   */
  shouldFollow(now: number): boolean {
    const {id} = this.self();
    return !this.getOtherFollowers(now).some(follower => follower.id < id);
  }

  /**
   * Says whether this instance is the first of all regions that follow the registry.
   * @param now - Monotonic time in milliseconds.
   */
  isFirstFollower(now: number): boolean {
    const {id} = this.self();
    return !this.getLive(now).some(other => other.isFollowing && other.id < id);
  }

  /**
   * Returns the number of live instances of this one's region whose ids are lower.
   * @param now - Monotonic time in milliseconds.
   */
  getRegionRank(now: number): number {
    const {id, region} = this.self();
    return this.getLive(now).filter(
      other => other.region === region && other.id < id,
    ).length;
  }

  /**
   * Estimates the requests that all live instances have open at the endpoints of a service. Not
   * every instance tells every other one, so that the mean of those of a region that did lately
   * stands for the others.
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
   * Ranks this instance among all that may be alive for an endpoint that only some of them may
   * use. Those of the endpoint's region come first, since most of its requests arrive there.
   * @param endpoint - Hash of the endpoint's id.
   * @param region - Region of the endpoint.
   * @returns The rank from 0; those of all instances differ.
   */
  getRankFor(endpoint: number, region: string | undefined): number {
    const self = this.self();
    const getKey = (info: MemberInfo, idHash: number) =>
      (info.region === region ? 0 : 1) + combineToFraction(idHash, endpoint);
    const own = getKey(self, hash32(self.id));
    let rank = 0;
    for (const {info, idHash} of this.members.values()) {
      const key = getKey(info, idHash);
      if (key < own || (key === own && info.id < self.id)) rank++;
    }
    return rank;
  }

  /**
   * Says that others may be alive of which this instance has not heard.
   * @param until - Monotonic time from which those that are known count as all.
   */
  expectOthers(until: number): void {
    this.membershipUnknownUntil = until;
  }

  /** Notes that another instance has told of those that it knows. */
  noteOthersHeard(): void {
    this.membershipUnknownUntil = -Infinity;
  }

  /**
   * Returns the number by which bounds over all instances are divided.
   * @param now - Monotonic time in milliseconds.
   * @returns Infinity while this instance cannot know how many share them.
   */
  getDivisor(now: number): number {
    return now < this.membershipUnknownUntil ? Infinity : this.getCount();
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
  getHeartbeatAgeMs(id: string, now: number): number {
    return now - (this.members.get(id)?.lastHeartbeatAt ?? -Infinity);
  }

  private isLive({info, lastHeartbeatAt}: Member, now: number): boolean {
    this.region ??= this.self().region;
    const limitMs =
      info.region === this.region ? SUSPECT_AFTER_MS : SUSPECT_REMOTE_AFTER_MS;
    return now - lastHeartbeatAt < limitMs;
  }

  private raiseOwnBornAtFloor(info: MemberInfo, self: MemberInfo): void {
    if (info.bornAt <= self.bornAt) return;
    this.ownBornAtFloor = Math.max(this.ownBornAtFloor, info.bornAt + 1);
  }
}

function selectLeastRecentlyForwarded(
  members: Member[],
  max: number,
): Member[] {
  if (members.length <= max) return members;
  return members
    .sort((a, b) => a.lastForwardedIn - b.lastForwardedIn)
    .slice(0, max);
}
