import type {TimerService} from '@primrosestage/common';
import {type MemberTable, SharedRetryBudget} from '@primrosestage/steering';
import type {DirectBounds} from './direct_settings.js';

/** Grants repeats from this instance's part of each service's bound. */
export class RepeatGate {
  private readonly allowances = new Map<string, SharedRetryBudget>();

  /**
   * Creates the gate.
   * @param bounds - The bounds over all instances.
   * @param members - The instances that share them.
   * @param timers - The clock.
   */
  constructor(
    private readonly bounds: DirectBounds,
    private readonly members: MemberTable,
    private readonly timers: TimerService,
  ) {}

  /**
   * Counts a request for a service.
   * @param service - Name of the service.
   */
  countRequest(service: string): void {
    this.getAllowance(service).countRequest(this.timers.now());
  }

  /**
   * Takes a repeat from this instance's part of the bound.
   * @param service - Name of the service.
   * @returns Whether the repeat may be sent.
   */
  take(service: string): boolean {
    const now = this.timers.now();
    return this.getAllowance(service).tryAcquire(
      now,
      this.members.getLimitDivisor(now),
    );
  }

  private getAllowance(service: string): SharedRetryBudget {
    let allowance = this.allowances.get(service);
    if (!allowance) {
      const {bounds} = this;
      allowance = new SharedRetryBudget({
        ratio: bounds.repeatRatio,
        slack: bounds.repeatSlack,
        windowMs: bounds.repeatWindowMs,
      });
      this.allowances.set(service, allowance);
    }
    return allowance;
  }
}
