import type {TimerService} from '@primrosestage/common';
import {
  chooseCoordinator,
  type EndpointEntry,
  hash32,
  type MemberInfo,
  type MemberTable,
  RateBucket,
} from '@primrosestage/steering';
import type {DirectSettings} from '../direct_settings.js';

/** Time for which the choice of a coordinator is cached, in milliseconds. */
const CHOICE_VALIDITY_MS = 200;
/**
 * Time for which this instance must have been the first choice before it issues permits, in
 * milliseconds. Instances notice at different times that another one is gone or has joined.
 */
const TAKEOVER_DELAY_MS = 2_000;
/** Lowest rate at which permits are issued, so that the end of any limit is noticed. */
const MIN_PER_SECOND = 0.2;
/** Time until another try if this instance may issue nothing at present, in milliseconds. */
const NO_RATE_RETRY_MS = 300;

/** An endpoint whose limit is coordinated. */
export type LimitedEndpoint = Pick<EndpointEntry, 'id' | 'bornAt' | 'zone'>;

/** Configures the coordination of rate limits. */
export interface LimitCoordinatorOptions {
  settings: DirectSettings;
  members: MemberTable;
  timers: TimerService;
  /** Returns the monotonic time since which this instance serves callers, in milliseconds. */
  getServingSince: () => number;
}

/** Instances chosen for a limit. */
interface Choice {
  /** The instance that is asked for permits. */
  coordinator: MemberInfo;
  /** Whether this instance is the coordinator, and no other one has been it just before. */
  mayIssue: boolean;
  chosenAt: number;
}

interface CoordinatedLimit {
  bornAt: number;
  bucket: RateBucket;
  choice?: Choice;
}

/**
 * Chooses the instance that coordinates the rate limit of an endpoint, and issues permits if that is
 * this one.
 *
 * While the coordinator hears only a part of the instances that may be alive, it issues the same
 * part of the rate, since the others may have chosen a coordinator of their own.
 */
export class LimitCoordinator {
  private readonly limits = new Map<string, CoordinatedLimit>();

  constructor(private readonly options: LimitCoordinatorOptions) {}

  /**
   * Returns the coordinator of an endpoint's limit. An instance that stops hands its task over, so
   * only instances that serve callers are chosen.
   * @param endpoint - The endpoint.
   */
  getCoordinator(endpoint: LimitedEndpoint): MemberInfo {
    return this.getChoice(endpoint).coordinator;
  }

  /**
   * Returns whether this instance coordinates an endpoint's limit.
   * @param endpoint - The endpoint.
   */
  isCoordinator(endpoint: LimitedEndpoint): boolean {
    return this.getCoordinator(endpoint).id === this.options.settings.id;
  }

  /**
   * Issues permits as far as the limit allows it.
   * @param max - Maximum number of permits.
   * @param endpoint - The endpoint, whose coordinator is this instance.
   * @param perSecond - Its limit.
   * @returns The number of permits issued.
   */
  issue(max: number, endpoint: LimitedEndpoint, perSecond: number): number {
    const rate = this.getIssuedRate(endpoint, perSecond);
    if (rate === 0) return 0;
    const {bucket} = this.getLimit(endpoint);
    return bucket.take(max, this.options.timers.now(), rate);
  }

  /**
   * Returns the time until a permit can be issued, in milliseconds.
   * @param endpoint - The endpoint, whose coordinator is this instance.
   * @param perSecond - Its limit.
   */
  getWaitMs(endpoint: LimitedEndpoint, perSecond: number): number {
    const rate = this.getIssuedRate(endpoint, perSecond);
    if (rate === 0) return NO_RATE_RETRY_MS;
    return this.getLimit(endpoint).bucket.getWaitMs(
      this.options.timers.now(),
      rate,
    );
  }

  /**
   * Discards the state of limits that have ended.
   * @param isLimited - Returns whether a process of an endpoint still states a limit.
   */
  prune(isLimited: (id: string, bornAt: number) => boolean): void {
    for (const [id, {bornAt}] of this.limits) {
      if (!isLimited(id, bornAt)) this.limits.delete(id);
    }
  }

  private getChoice(endpoint: LimitedEndpoint): Choice {
    const limit = this.getLimit(endpoint);
    const now = this.options.timers.now();
    if (limit.choice && now - limit.choice.chosenAt < CHOICE_VALIDITY_MS) {
      return limit.choice;
    }
    limit.choice = this.choose(endpoint, now);
    return limit.choice;
  }

  private choose({id, zone}: LimitedEndpoint, now: number): Choice {
    const {settings, members, getServingSince} = this.options;
    const region = settings.regionsByZone.get(zone);
    const self = members.getSelf();
    const chooseAmong = (instances: MemberInfo[]) =>
      chooseCoordinator(instances, hash32(id), region) ?? self;
    const recent = members.getRecentlyServing(TAKEOVER_DELAY_MS, now);
    return {
      coordinator: chooseAmong(members.getServing(now)),
      mayIssue:
        now - getServingSince() >= TAKEOVER_DELAY_MS &&
        chooseAmong([self, ...recent]).id === self.id,
      chosenAt: now,
    };
  }

  private getIssuedRate(endpoint: LimitedEndpoint, perSecond: number): number {
    if (!this.getChoice(endpoint).mayIssue) return 0;
    const {members, timers} = this.options;
    const now = timers.now();
    const heard = members.getLive(now).length;
    const mayBeAlive = members.getLimitDivisor(now);
    return (Math.max(perSecond, MIN_PER_SECOND) * heard) / mayBeAlive;
  }

  private getLimit({id, bornAt}: LimitedEndpoint): CoordinatedLimit {
    let limit = this.limits.get(id);
    if (!limit || limit.bornAt !== bornAt) {
      const bucket = new RateBucket(this.options.timers.now());
      limit = {bornAt, bucket};
      this.limits.set(id, limit);
    }
    return limit;
  }
}
