import {chooseStandbys} from './choose_standbys.js';
import type {MemberInfo} from './member_info.js';
import type {MemberTable} from './member_table.js';

/**
 * Time without a new heartbeat of a follower after which its standbys take over watching the
 * registry. A change must take effect within two seconds even if the follower has just failed.
 */
const REPLACE_FOLLOWER_AFTER_MS = 1_200;
/**
 * The same for instances that are not standbys, which receive the heartbeats of the follower
 * through other instances.
 */
const REPLACE_STANDBYS_AFTER_MS = 3_000;

/**
 * Decides which instances of a region follow the registry for the others, from the heartbeats that
 * this instance knows.
 */
export class FollowerElection {
  /**
   * Creates the election.
   * @param members - The known instances.
   */
  constructor(private readonly members: MemberTable) {}

  /**
   * Returns the standbys of this instance, which take over first if it watches the registry and
   * fails: the first other instance of its region and the first one of each further zone, so that
   * a standby remains if a zone is lost.
   * @param now - Monotonic time in milliseconds.
   */
  getStandbys(now: number): MemberInfo[] {
    const {id, region, zone} = this.members.getSelf();
    return chooseStandbys(this.members.getRing(region, now), id, zone);
  }

  /**
   * Returns the other instances of this region that count as followers of the registry. One
   * without recent heartbeats stops counting for its standbys first, then for all instances.
   * @param now - Monotonic time in milliseconds.
   */
  getOtherFollowers(now: number): MemberInfo[] {
    const {id, region} = this.members.getSelf();
    return [...this.members.entries]
      .filter(({info}) => info.isFollowing && info.region === region)
      .filter(({info, lastHeartbeatAt}) => {
        const heartbeatAgeMs = now - lastHeartbeatAt;
        if (heartbeatAgeMs < REPLACE_FOLLOWER_AFTER_MS) return true;
        if (heartbeatAgeMs >= REPLACE_STANDBYS_AFTER_MS) return false;
        const standbys = chooseStandbys(
          this.members.getRing(region, now),
          info.id,
          info.zone,
        );
        return !standbys.some(standby => standby.id === id);
      })
      .map(({info}) => info);
  }

  /**
   * Returns whether this instance should follow the registry. It should unless an instance of the
   * region with a lower id does.
   * @param now - Monotonic time in milliseconds.
   */
  shouldFollow(now: number): boolean {
    const {id} = this.members.getSelf();
    return !this.getOtherFollowers(now).some(follower => follower.id < id);
  }

  /**
   * Returns whether no live instance of any region with a lower id follows the registry.
   * @param now - Monotonic time in milliseconds.
   */
  isFirstFollower(now: number): boolean {
    const {id} = this.members.getSelf();
    return !this.members
      .getLive(now)
      .some(other => other.isFollowing && other.id < id);
  }

  /**
   * Returns the number of live instances of the same region with lower ids.
   * @param now - Monotonic time in milliseconds.
   */
  getRegionRank(now: number): number {
    const {id, region} = this.members.getSelf();
    return this.members
      .getLive(now)
      .filter(other => other.region === region && other.id < id).length;
  }
}
