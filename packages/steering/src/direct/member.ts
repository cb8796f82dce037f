import {hash32} from './hash_fraction.js';
import type {MemberInfo} from './member_info.js';

/** Keeps what is known of another instance. */
export interface Member {
  info: MemberInfo;
  lastHeartbeatAt: number;
  /** Monotonic time at which this instance heard of the last change of the announcement. */
  announcementChangedAt: number;
  /** Monotonic time at which the open requests were taken over. */
  openRequestsAt: number;
  /** Number of the message that last passed the heartbeat on. */
  lastForwardedIn: number;
  /** Hash of the announcement without its heartbeat. */
  digest: number;
  /** Hash of the id. */
  idHash: number;
}

/**
 * Creates what is known of an instance that has just been heard of.
 * @param info - Its announcement.
 * @param now - Monotonic time in milliseconds.
 */
export function createMember(info: MemberInfo, now: number): Member {
  return {
    info: {...info},
    lastHeartbeatAt: now,
    announcementChangedAt: now,
    openRequestsAt: now,
    lastForwardedIn: 0,
    digest: digestAnnouncement(info),
    idHash: hash32(info.id),
  };
}

/**
 * Hashes an announcement without its heartbeat and its open requests.
 * @param info - The announcement.
 */
export function digestAnnouncement({id, bornAt, version}: MemberInfo): number {
  return hash32(`${id} ${bornAt} ${version}`);
}

/**
 * Says whether an announcement is newer than another one of the same process.
 * @param info - The announcement.
 * @param known - The other one.
 */
export function isNewer(info: MemberInfo, known: MemberInfo): boolean {
  if (info.version !== known.version) return info.version > known.version;
  return info.heartbeat > known.heartbeat;
}
