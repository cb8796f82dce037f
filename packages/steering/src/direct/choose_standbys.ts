import type {MemberInfo} from './member_info.js';

/**
 * Chooses the standbys of a follower (an instance that watches the registry), which take over
 * first if it fails: the first other instance of the ring and the first one of each further zone,
 * so that a standby remains if a zone is lost.
 * @param ring - Live instances of the region, sorted by id; may include the follower.
 * @param followerId - Id of the follower.
 * @param followerZone - Availability zone of the follower.
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
