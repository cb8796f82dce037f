import type {TimerService} from '@primrosestage/common';
import type {MemberInfo} from '@primrosestage/steering';
import type {DirectSettings} from '../direct_settings.js';

/** State of an instance that changes while it runs. */
export interface AnnouncedState {
  /** Lowest start time with which others accept this process as the newest of its id. */
  minBornAt: number;
  isServing: boolean;
  isFollowing: boolean;
  openRequests: Readonly<Record<string, number>>;
  /** Fraction of the machine's processing capacity that was in use recently. */
  utilization: number;
}

/** Creates the announcements of one instance and counts their heartbeats and versions. */
export class Announcer {
  private bornAt: number;
  private heartbeatCount = 0;
  private version = 0;
  private lastState = '';

  /**
   * Creates the announcer of a process that has just started.
   * @param settings - Id, zone, region and addresses.
   * @param timers - The clock.
   */
  constructor(
    private readonly settings: DirectSettings,
    timers: TimerService,
  ) {
    this.bornAt = timers.wallNow();
  }

  /** Counts a heartbeat. */
  countHeartbeat(): void {
    this.heartbeatCount++;
  }

  /**
   * Creates an announcement. A change of the state counts as a heartbeat, so that others accept
   * the announcement as newer.
   * @param state - The state of the instance.
   */
  create(state: AnnouncedState): MemberInfo {
    const {minBornAt, isServing, isFollowing, openRequests} = state;
    const {utilization} = state;
    const {settings} = this;
    this.bornAt = Math.max(this.bornAt, minBornAt);
    const currentState = `${this.bornAt} ${isServing} ${isFollowing}`;
    if (currentState !== this.lastState) {
      this.lastState = currentState;
      this.version++;
      this.heartbeatCount++;
    }
    return {
      id: settings.id,
      zone: settings.zone,
      region: settings.region,
      controlAddress: settings.controlAddress,
      gossipAddress: settings.gossipAddress,
      callerAddress: settings.callerAddress,
      bornAt: this.bornAt,
      version: this.version,
      isServing,
      isFollowing,
      openRequests,
      ...this.describeCapacity(utilization),
      heartbeat: this.bornAt + this.heartbeatCount,
    };
  }

  /** An instance that does not know its capacity states neither that nor its utilization. */
  private describeCapacity(
    utilization: number,
  ): Pick<MemberInfo, 'capacity' | 'utilization'> {
    const capacity = this.settings.machine?.cores;
    return capacity === undefined ? {} : {capacity, utilization};
  }
}
