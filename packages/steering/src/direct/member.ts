import {hash32} from './hash_fraction.js';
import type {MemberInfo} from './member_info.js';

/** Time without a new heartbeat after which an announcement is no longer forwarded. */
export const STALE_AFTER_MS = 8_000;

/** Another instance, as this one knows it. */
export interface Member {
  info: MemberInfo;
  /** Monotonic time since which the instance counts for divided limits. */
  countedSince: number;
  /** Whether only its registration is known. */
  isOnlyRegistered: boolean;
  /** Monotonic time at which a new heartbeat was last received. */
  lastHeartbeatAt: number;
  /** Monotonic time at which the last change of the announcement was received. */
  announcementChangedAt: number;
  /** Monotonic time at which the numbers of open requests were received. */
  openRequestsAt: number;
  /** Sequence number of the message that last forwarded the heartbeat. */
  lastForwardedIn: number;
  /** Hash of the announcement without its heartbeat and open requests. */
  digest: number;
  /** Hash of the id. */
  idHash: number;
}

/**
 * Creates the entry of an instance whose announcement has just been received.
 * @param info - Announcement of the instance.
 * @param now - Monotonic time in milliseconds.
 */
export function createMember(info: MemberInfo, now: number): Member {
  return {
    info: {...info},
    countedSince: now,
    isOnlyRegistered: false,
    lastHeartbeatAt: now,
    announcementChangedAt: now,
    openRequestsAt: now,
    lastForwardedIn: 0,
    digest: digestAnnouncement(info),
    idHash: hash32(info.id),
  };
}

/**
 * Hashes an announcement without its heartbeat and open requests.
 * @param info - Announcement to hash.
 */
export function digestAnnouncement({id, bornAt, version}: MemberInfo): number {
  return hash32(`${id} ${bornAt} ${version}`);
}

/**
 * Returns whether an announcement is newer than another one of the same process.
 * @param info - Announcement to compare.
 * @param known - Announcement that is already known.
 */
export function isNewer(info: MemberInfo, known: MemberInfo): boolean {
  if (info.version !== known.version) return info.version > known.version;
  return info.heartbeat > known.heartbeat;
}

/**
 * Returns whether the announcement of an instance is too old to be forwarded.
 * @param member - The instance.
 * @param now - Monotonic time in milliseconds.
 */
export function isStale({lastHeartbeatAt}: Member, now: number): boolean {
  return now - lastHeartbeatAt >= STALE_AFTER_MS;
}
