import type {MemberInfo} from './member_info.js';

interface RegionSample {
  /** Sum of the open requests of the instances that told theirs. */
  openRequests: number;
  reportCount: number;
  instanceCount: number;
}

/**
 * Adds up the open requests of all instances where only some of a region told theirs: their mean
 * stands for the others.
 */
export class RegionDemand {
  private readonly regions = new Map<string, RegionSample>();

  /** The estimated sum. */
  get total(): number {
    let sum = 0;
    for (const {
      openRequests,
      reportCount,
      instanceCount,
    } of this.regions.values()) {
      if (reportCount > 0) sum += (openRequests / reportCount) * instanceCount;
    }
    return sum;
  }

  /**
   * Adds an instance.
   * @param info - The instance.
   * @param openRequests - Its open requests; undefined where it has not told them lately.
   */
  add({region}: MemberInfo, openRequests: number | undefined): void {
    const sample = this.regions.get(region) ?? {
      openRequests: 0,
      reportCount: 0,
      instanceCount: 0,
    };
    this.regions.set(region, sample);
    sample.instanceCount++;
    if (openRequests === undefined) return;
    sample.openRequests += openRequests;
    sample.reportCount++;
  }
}
