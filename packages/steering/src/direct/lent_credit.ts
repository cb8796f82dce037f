import type {HeardInstances} from './heard_instances.js';
import type {QuotaPlan} from './plan_quota.js';
import {HOLD_MS, UNDECIDED_RETRY_MS, UNUSED_MS} from './quota_timing.js';

/** Heard fraction below which the time until there is credit cannot be told. */
const MIN_DECIDED_FRACTION = 0.5;

/** Credit per instance that uses the account from which on instances may hold one in reserve. */
const RESERVE_FROM_CREDIT = 1.5;
/** Part of the credit per instance that may be its reserve where there is more. */
const RESERVE_FRACTION = 1 / 3;

interface Holder {
  /** Credit that the instance has stated. */
  held: number;
  /** Credit granted since, which it may or may not have received. */
  pending: number;
  statedAt: number;
}

/**
 * Bucket of one account at its coordinator, and the credit that instances hold of it. While a
 * coordinator is heard by a part of the instances only, as after a cut or while another one takes
 * over, the rate and all capacities are reduced to that part.
 */
export class LentCredit {
  private readonly holders = new Map<string, Holder>();
  private tokens: number;
  private earnedMs: number;
  private lent = 0;
  private usedAt: number;

  /**
   * Creates the state of an account that has not been used for some time, so that its bucket holds
   * what it would have saved up.
   * @param plan - Amounts of credit.
   * @param heard - The instances that the coordinator hears.
   * @param now - Monotonic time in milliseconds.
   */
  constructor(
    private plan: QuotaPlan,
    private readonly heard: HeardInstances,
    now: number,
  ) {
    this.tokens = this.getIdleTokens();
    this.earnedMs = heard.earnedMs;
    this.usedAt = now;
  }

  /** Adds the credit earned since the last call, and reduces what exceeds a changed plan. */
  refill(plan: QuotaPlan): void {
    this.plan = plan;
    const {earnedMs, fraction} = this.heard;
    const earned = ((earnedMs - this.earnedMs) * plan.ratePerSecond) / 1_000;
    this.earnedMs = earnedMs;
    this.tokens = Math.max(
      0,
      Math.min(
        this.tokens + earned,
        plan.capacity * fraction,
        plan.lendLimit * fraction - this.lent,
      ),
    );
  }

  /**
   * Credit that an instance may hold in reserve for requests that it does not expect. Without it,
   * each request of an account that is seldom used waits for a round trip. Where many instances use
   * an account with a low rate, their reserves would keep the credit from those that need it.
   */
  get reserve(): number {
    const {plan, heard, holders} = this;
    const perHolder =
      (plan.lendLimit * heard.fraction) / Math.max(1, holders.size);
    if (perHolder < RESERVE_FROM_CREDIT) return 0;
    return Math.max(1, Math.floor(perHolder * RESERVE_FRACTION));
  }

  /**
   * Records the credit that an instance states.
   * @param id - Id of the instance.
   * @param held - The credit.
   * @param returned - Credit that goes back into the bucket; what is missing else has been used.
   * @param now - Monotonic time in milliseconds.
   */
  recordHeld(id: string, held: number, returned: number, now: number): void {
    const holder = this.getHolder(id);
    this.tokens += Math.max(0, Math.min(returned, holder.held - held));
    this.lent += held - holder.held;
    holder.held = held;
    holder.statedAt = now;
    if (held > 0) this.usedAt = now;
  }

  /**
   * Grants credit up to what an instance needs.
   * @param id - Id of the instance.
   * @param target - The credit that it needs in all.
   * @param now - Monotonic time in milliseconds.
   * @returns The credit granted, and the time until more is expected, 0 if it has got all.
   */
  grant(
    id: string,
    target: number,
    now: number,
  ): {granted: number; retryAfterMs: number} {
    const holder = this.getHolder(id);
    const wanted = target - holder.held - holder.pending;
    if (target > 0) this.usedAt = now;
    if (wanted < 1) return {granted: 0, retryAfterMs: 0};
    const granted = Math.min(Math.floor(this.tokens), Math.floor(wanted));
    this.tokens -= granted;
    this.lent += granted;
    holder.pending += granted;
    holder.statedAt = now;
    return {granted, retryAfterMs: granted < wanted ? this.getWaitMs() : 0};
  }

  /**
   * Records what has become of credit that was granted.
   * @param id - Id of the holder.
   * @param amount - The credit.
   * @param isHeld - Whether it counts as held from now on; false if it was lost.
   */
  settle(id: string, amount: number, isHeld: boolean): void {
    const holder = this.holders.get(id);
    if (!holder) return;
    // The holder may have been removed with this credit and have come back.
    const settled = Math.min(amount, holder.pending);
    holder.pending -= settled;
    holder.held += isHeld ? settled : 0;
    if (!isHeld) this.lent -= settled;
  }

  /**
   * Removes an instance that has discarded its credit.
   * @param id - Id of the instance.
   */
  removeHolder(id: string): void {
    const holder = this.holders.get(id);
    if (!holder) return;
    this.lent -= holder.held + holder.pending;
    this.holders.delete(id);
  }

  /**
   * Removes holders that no longer state the account.
   * @param now - Monotonic time in milliseconds.
   * @returns Whether the whole state can be dropped, because it equals that of an unused account.
   */
  prune(now: number): boolean {
    for (const [id, {statedAt}] of this.holders) {
      if (now - statedAt > HOLD_MS) this.removeHolder(id);
    }
    return (
      this.holders.size === 0 &&
      now - this.usedAt > UNUSED_MS &&
      this.tokens >= this.getIdleTokens()
    );
  }

  private getIdleTokens(): number {
    const {ratePerSecond, capacity} = this.plan;
    const {fraction, idleEarnedMs} = this.heard;
    return Math.min(
      capacity * fraction,
      (idleEarnedMs * ratePerSecond) / 1_000,
    );
  }

  private getWaitMs(): number {
    const missing = 1 - Math.min(1, this.tokens);
    const waitMs = Math.ceil((missing * 1_000) / this.plan.ratePerSecond);
    const isDecided = this.heard.fraction >= MIN_DECIDED_FRACTION;
    return isDecided ? waitMs : Math.max(waitMs, UNDECIDED_RETRY_MS);
  }

  private getHolder(id: string): Holder {
    let holder = this.holders.get(id);
    if (!holder) {
      holder = {held: 0, pending: 0, statedAt: -Infinity};
      this.holders.set(id, holder);
    }
    return holder;
  }
}
