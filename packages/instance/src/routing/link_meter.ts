import type {Priority} from '@primrosestage/common';
import {
  type InstanceInfo,
  LinkBudget,
  LinkUse,
  type Topology,
} from '@primrosestage/steering';

/** Configures a link meter. */
export interface LinkMeterOptions {
  topology: Topology;
  self: InstanceInfo;
  /** Gets the configured cap of a direction in Mbit/s; undefined if only the capacity limits it. */
  getCapMbit(from: string, to: string): number | undefined;
  /** Gets the number of instances in a region from the settings or the platform's list. */
  getInstanceCount(region: string): number;
}

/** Reports the use of one direction of a link by this instance. */
export interface LinkStatus {
  from: string;
  to: string;
  use: LinkUse;
  /** Used fraction of the token bucket, between 0 and 1. */
  used: number;
  totalBits: number;
}

/** Limits the rate at which this instance transfers bodies over the links of its region. */
export class LinkMeter {
  private readonly budgets = new Map<string, LinkBudget>();

  constructor(private readonly options: LinkMeterOptions) {}

  /**
   * Takes up to a number of bits from the budget of a link direction.
   * @param region - Region of the endpoint.
   * @param use - Request or response body.
   * @param bits - Bits to send.
   * @param priority - Priority of the service.
   * @param nowMs - Current time in milliseconds.
   * @returns The number of bits that may be sent now; all of them within a region.
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
   * Gets the time to wait until bits may be sent.
   * @param region - Region of the endpoint.
   * @param use - Request or response body.
   * @param bits - Bits to send.
   * @param priority - Priority of the service.
   * @param nowMs - Current time in milliseconds.
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
   * Returns whether new requests may be sent to a region.
   * @param region - Region of the endpoint.
   * @param priority - Priority of the service.
   * @param nowMs - Current time in milliseconds.
   */
  canAcceptRequests(
    region: string,
    priority: Priority,
    nowMs: number,
  ): boolean {
    return Object.values(LinkUse).every(
      use =>
        this.getBudget(region, use, nowMs)?.hasCapacity(priority, nowMs) ??
        true,
    );
  }

  /** Applies changed caps and instance counts to all budgets. */
  reconfigure(nowMs: number): void {
    for (const [key, budget] of this.budgets) {
      const [region = '', use = ''] = key.split('/');
      const options = this.getBudgetOptions(region, use as LinkUse);
      if (options) budget.configure(options, nowMs);
    }
  }

  /** Gets the use of all links of this instance's region. */
  getStatus(nowMs: number): LinkStatus[] {
    const ownRegion = this.options.self.region;
    return [...this.budgets].map(([key, budget]) => {
      const [region = '', use = ''] = key.split('/');
      const isRequest = (use as LinkUse) === LinkUse.Request;
      return {
        from: isRequest ? ownRegion : region,
        to: isRequest ? region : ownRegion,
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
    const {topology, self, getCapMbit, getInstanceCount} = this.options;
    const link = topology.getLink(self.region, region);
    if (!link) return undefined;
    const [from, to] =
      use === LinkUse.Request ? [self.region, region] : [region, self.region];
    const capMbit = Math.min(
      getCapMbit(from, to) ?? link.capacityMbit,
      link.capacityMbit,
    );
    return {capMbit, members: getInstanceCount(self.region), use};
  }
}
