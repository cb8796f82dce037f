import type {MemberInfo} from './member_info.js';

/**
 * Chooses the instances that take over first where one that follows the registry dies: the next
 * of its region and the first of each other zone, so that the loss of a zone leaves one.
 * @param ring - Live instances of the region by their ids; the follower may be among them.
 * @param followerId - Id of the follower.
 * @param followerZone - Its zone.
 */
export function chooseStandbys(
  ring: readonly MemberInfo[],
  followerId: string,
  followerZone: string,
): MemberInfo[] {
  const zones = new Set([followerZone]);
  const standbys: MemberInfo[] = [];
  for (const info of ring) {
    if (info.id === followerId) continue;
    if (standbys.length > 0 && zones.has(info.zone)) continue;
    zones.add(info.zone);
    standbys.push(info);
  }
  return standbys;
}
