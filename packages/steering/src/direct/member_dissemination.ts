import {digestAnnouncement, isStale, type Member} from './member.js';
import type {
  AnnouncementDigests,
  Heartbeats,
  MemberInfo,
} from './member_info.js';
import type {MemberTable} from './member_table.js';

/** Fraction of the heartbeats in a message that is reserved for the own region. */
const OWN_REGION_FRACTION = 0.75;
/** Time for which a changed announcement is forwarded unsolicited, in milliseconds. */
const FORWARD_CHANGES_MS = 1_500;

/** Selects what one instance tells others of the instances that it knows. */
export class MemberDissemination {
  private messageCount = 0;

  /**
   * Creates the dissemination.
   * @param members - The known instances.
   */
  constructor(private readonly members: MemberTable) {}

  /**
   * Selects the heartbeats for a message: the least recently forwarded ones, most of them of the
   * own region. This bounds the size of a message regardless of the number of instances.
   * @param max - Maximum number of heartbeats of other instances.
   * @param now - Monotonic time in milliseconds.
   */
  selectHeartbeats(max: number, now: number): Heartbeats {
    const {region} = this.members.getSelf();
    const own: Member[] = [];
    const remote: Member[] = [];
    for (const member of this.members.entries) {
      if (!this.members.isLive(member, now)) continue;
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
   * Returns a digest of the announcements that are not stale. Two instances compare it to detect
   * whether they know the same announcements; heartbeats and open requests are not included.
   * @param now - Monotonic time in milliseconds.
   */
  getDigest(now: number): number {
    let digest = digestAnnouncement(this.members.getSelf());
    for (const member of this.members.entries) {
      if (!isStale(member, now)) digest ^= member.digest;
    }
    return digest;
  }

  /**
   * Returns the recently changed announcements, latest first.
   * @param max - Maximum number of announcements. Others detect by the digest that they lack more.
   * @param now - Monotonic time in milliseconds.
   */
  getRecentChanges(max: number, now: number): MemberInfo[] {
    return [...this.members.entries]
      .filter(
        ({announcementChangedAt}) =>
          now - announcementChangedAt < FORWARD_CHANGES_MS,
      )
      .sort((a, b) => b.announcementChangedAt - a.announcementChangedAt)
      .slice(0, max)
      .map(({info}) => info);
  }

  /**
   * Returns the known announcement of a later process with the same id, if there is one. Other
   * instances that know it ignore the given process.
   * @param info - Announcement of the process.
   */
  getLaterProcess(info: MemberInfo): MemberInfo | undefined {
    const known = this.members.get(info.id);
    return known && known.bornAt > info.bornAt ? known : undefined;
  }

  /**
   * Returns the digests of the announcements that are not stale, by id, so that another instance
   * replies only with those that differ.
   * @param now - Monotonic time in milliseconds.
   */
  getDigests(now: number): AnnouncementDigests {
    const digests: Record<string, number> = {};
    for (const member of this.members.entries) {
      if (!isStale(member, now)) digests[member.info.id] = member.digest;
    }
    return digests;
  }

  /**
   * Returns the announcements that are not stale and differ from those another instance has.
   * @param digests - Digests of the announcements that the other instance has.
   * @param now - Monotonic time in milliseconds.
   */
  getDifferingAnnouncements(
    digests: AnnouncementDigests,
    now: number,
  ): MemberInfo[] {
    const infos: MemberInfo[] = [];
    for (const member of this.members.entries) {
      const isKnown = digests[member.info.id] === member.digest;
      if (!isKnown && !isStale(member, now)) infos.push(member.info);
    }
    return infos;
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
