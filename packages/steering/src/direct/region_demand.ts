import type {MemberInfo} from './member_info.js';

interface RegionSample {
  /** Sum of the open requests of the instances that reported them. */
  openRequests: number;
  reportCount: number;
  instanceCount: number;
}

/**
 * Estimates the open requests of all instances if only some of a region report theirs. The mean of
 * the reports is used for the other instances of the region.
 */
export class RegionDemand {
  private readonly regions = new Map<string, RegionSample>();

  /** Estimated open requests of all instances. */
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
   * @param info - Announcement of the instance.
   * @param openRequests - Its open requests; undefined if it has not reported them recently.
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
