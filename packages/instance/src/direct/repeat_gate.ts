import type {TimerService} from '@primrosestage/common';
import {type MemberTable, RepeatAllowance} from '@primrosestage/steering';
import type {DirectBounds} from './direct_settings.js';

/** Grants repeats from this instance's part of each service's bound. */
export class RepeatGate {
  private readonly budgets = new Map<string, RepeatAllowance>();

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
    this.getBudget(service).addRequest(this.timers.now());
  }

  /**
   * Takes a repeat from this instance's part of the bound.
   * @param service - Name of the service.
   * @returns Whether the repeat may be sent.
   */
  tryAcquire(service: string): boolean {
    const now = this.timers.now();
    return this.getBudget(service).take(now, this.members.getDivisor(now));
  }

  private getBudget(service: string): RepeatAllowance {
    let budget = this.budgets.get(service);
    if (!budget) {
      const {bounds} = this;
      budget = new RepeatAllowance({
        ratio: bounds.repeatRatio,
        slack: bounds.repeatSlack,
        windowMs: bounds.repeatWindowMs,
      });
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
