import type {TimerService} from '@primrosestage/common';
import {
  chooseCoordinator,
  type EndpointEntry,
  hash32,
  type MemberInfo,
  type MemberTable,
  RateBucket,
} from '@primrosestage/steering';
import type {DirectSettings} from './direct_settings.js';

/** Time for which the choice of a coordinator is cached, in milliseconds. */
const CHOICE_VALIDITY_MS = 200;
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
}

interface CoordinatedLimit {
  bornAt: number;
  bucket: RateBucket;
  coordinator?: MemberInfo;
  chosenAt: number;
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
    const {settings, members, timers} = this.options;
    const now = timers.now();
    const limit = this.getLimit(endpoint);
    const isValid = now - limit.chosenAt < CHOICE_VALIDITY_MS;
    if (limit.coordinator && isValid) return limit.coordinator;
    const region = settings.regionsByZone.get(endpoint.zone);
    const serving = members.getServing(now);
    limit.coordinator =
      chooseCoordinator(serving, hash32(endpoint.id), region) ??
      members.getSelf();
    limit.chosenAt = now;
    return limit.coordinator;
  }

  /**
   * Returns whether this instance coordinates an endpoint's limit.
   * @param endpoint - The endpoint.
   */
  isCoordinator(endpoint: LimitedEndpoint): boolean {
    return this.getCoordinator(endpoint).id === this.options.settings.id;
  }

  /**
   * Issues a permit if the limit allows it.
   * @param endpoint - The endpoint, whose coordinator is this instance.
   * @param perSecond - Its limit.
   */
  tryIssue(endpoint: LimitedEndpoint, perSecond: number): boolean {
    const {bucket} = this.getLimit(endpoint);
    const rate = this.getIssuedRate(perSecond);
    return bucket.tryTake(this.options.timers.now(), rate);
  }

  /**
   * Returns the time until a permit can be issued, in milliseconds.
   * @param endpoint - The endpoint, whose coordinator is this instance.
   * @param perSecond - Its limit.
   */
  getWaitMs(endpoint: LimitedEndpoint, perSecond: number): number {
    const rate = this.getIssuedRate(perSecond);
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

  private getIssuedRate(perSecond: number): number {
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
      limit = {bornAt, bucket, chosenAt: -Infinity};
      this.limits.set(id, limit);
    }
    return limit;
  }
}
