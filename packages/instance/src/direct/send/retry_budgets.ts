import type {TimerService} from '@primrosestage/common';
import {type MemberTable, SharedRetryBudget} from '@primrosestage/steering';
import type {DirectBounds} from '../direct_settings.js';

/** Retry budgets of services; this instance may use its share of each. */
export class RetryBudgets {
  private readonly budgets = new Map<string, SharedRetryBudget>();

  /**
   * Creates the retry budgets.
   * @param bounds - The bounds over all instances.
   * @param members - The instances among which the bounds are divided.
   * @param timers - The clock.
   */
  constructor(
    private readonly bounds: DirectBounds,
    private readonly members: MemberTable,
    private readonly timers: TimerService,
  ) {}

  /**
   * Counts a request for a service, which adds to its retry budget.
   * @param service - Name of the service.
   */
  countRequest(service: string): void {
    this.getBudget(service).countRequest(this.timers.now());
  }

  /**
   * Takes a retry or hedged request from this instance's share of the budget.
   * @param service - Name of the service.
   * @returns Whether it may be sent.
   */
  tryAcquire(service: string): boolean {
    const now = this.timers.now();
    return this.getBudget(service).tryAcquire(
      now,
      this.members.getLimitDivisor(now),
    );
  }

  private getBudget(service: string): SharedRetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      const {bounds} = this;
      budget = new SharedRetryBudget({
        ratio: bounds.repeatRatio,
        slack: bounds.repeatSlack,
        windowMs: bounds.repeatWindowMs,
      });
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
