import type {Priority} from '@primrosestage/common';
import {
  type InstanceInfo,
  LinkBudget,
  LinkUse,
  type Topology,
} from '@primrosestage/steering';

/** Configures the meter. */
export interface LinkMeterOptions {
  topology: Topology;
  self: InstanceInfo;
  /** Gets the cap of a direction in Mbit/s, or undefined for the link's capacity. */
  getCapMbit(from: string, to: string): number | undefined;
  /** Gets the number of instances of a region by the settings or the platform's list. */
  getMemberCount(region: string): number;
}

/** Reports the use of one direction of a link by this instance. */
export interface LinkStatus {
  from: string;
  to: string;
  use: LinkUse;
  /** Part of the bucket that is used, between 0 and 1. */
  used: number;
  totalBits: number;
}

/** Meters the bodies that this instance sends over and receives from the links of its region. */
export class LinkMeter {
  private readonly budgets = new Map<string, LinkBudget>();

  constructor(private readonly options: LinkMeterOptions) {}

  /**
   * Takes up to a number of bits of a direction.
   * @param region - Region of the endpoint.
   * @param use - Request or response body.
   * @param bits - Bits to pass on.
   * @param priority - Priority of the service.
   * @param nowMs - Present time in milliseconds.
   * @returns The bits that may pass now; all of them within a region.
   */
  takeBits(
    region: string,
    use: LinkUse,
    bits: number,
    priority: Priority,
    nowMs: number,
  ): number {
    const budget = this.getBudget(region, use, nowMs);
    return budget ? budget.takeBits(bits, priority, nowMs) : bits;
  }

  /**
   * Gets the time after which bits may pass.
   * @param region - Region of the endpoint.
   * @param use - Request or response body.
   * @param bits - Bits to pass on.
   * @param priority - Priority of the service.
   * @param nowMs - Present time in milliseconds.
   * @returns The time in milliseconds.
   */
  getWaitMs(
    region: string,
    use: LinkUse,
    bits: number,
    priority: Priority,
    nowMs: number,
  ): number {
    const budget = this.getBudget(region, use, nowMs);
    return budget ? budget.getWaitMs(bits, priority, nowMs) : 0;
  }

  /**
   * Says whether new requests may go to a region.
   * @param region - Region of the endpoint.
   * @param priority - Priority of the service.
   * @param nowMs - Present time in milliseconds.
   */
  isOpen(region: string, priority: Priority, nowMs: number): boolean {
    return Object.values(LinkUse).every(
      use =>
        this.getBudget(region, use, nowMs)?.hasCapacity(priority, nowMs) ??
        true,
    );
  }

  /** Puts changed caps and member counts in force. */
  update(nowMs: number): void {
    for (const [key, budget] of this.budgets) {
      const [region = '', use = ''] = key.split('/');
      const options = this.getBudgetOptions(region, use as LinkUse);
      if (options) budget.configure(options, nowMs);
    }
  }

  /** Gets the use of all links of this instance's region. */
  getStatus(nowMs: number): LinkStatus[] {
    const own = this.options.self.region;
    return [...this.budgets].map(([key, budget]) => {
      const [region = '', use = ''] = key.split('/');
      const isRequest = (use as LinkUse) === LinkUse.Request;
      return {
        from: isRequest ? own : region,
        to: isRequest ? region : own,
        use: use as LinkUse,
        used: budget.getUtilization(nowMs),
        totalBits: budget.totalBits,
      };
    });
  }

  private getBudget(
    region: string,
    use: LinkUse,
    nowMs: number,
  ): LinkBudget | undefined {
    if (region === this.options.self.region) return undefined;
    const key = `${region}/${use}`;
    let budget = this.budgets.get(key);
    if (!budget) {
      const options = this.getBudgetOptions(region, use);
      if (!options) return undefined;
      budget = new LinkBudget(options, nowMs);
      this.budgets.set(key, budget);
    }
    return budget;
  }

  private getBudgetOptions(region: string, use: LinkUse) {
    const {topology, self, getCapMbit, getMemberCount} = this.options;
    const link = topology.getLink(self.region, region);
    if (!link) return undefined;
    const [from, to] =
      use === LinkUse.Request ? [self.region, region] : [region, self.region];
    const capMbit = Math.min(
      getCapMbit(from, to) ?? link.capacityMbit,
      link.capacityMbit,
    );
    return {capMbit, members: getMemberCount(self.region), use};
  }
}
