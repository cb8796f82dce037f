import {
  MAX_MEASUREMENT_AGE_MS,
  getServiceKey,
  type OwnerLoads,
  type RegionMeasurement,
  type Service,
} from '@primrosestage/steering';
import type {DrainView} from './drain_view.js';
import type {OwnerDirectory} from './owner_directory.js';
import type {FreeSlotsReport, RoutingReport} from './routing_report.js';

/** Configures a region monitor. */
export interface RegionMonitorOptions {
  directory: OwnerDirectory;
  drains: DrainView;
  loads: OwnerLoads;
  getReportedFreeSlots(
    instanceId: string,
    service: Service,
  ): FreeSlotsReport | undefined;
}

interface ReportedLoad {
  freeFraction: number;
  measuredAtMs: number;
}

/** Measures how many slots of a service are free in a region. */
export class RegionMonitor {
  private readonly reportedLoads = new Map<string, ReportedLoad>();

  constructor(private readonly options: RegionMonitorOptions) {}

  /**
   * Stores the measurements that an instance reports of its region, unless newer ones are stored.
   * @param report - The instance's report.
   * @param nowMs - Current time in milliseconds.
   */
  addReport(report: RoutingReport, nowMs: number): void {
    for (const [key, load] of Object.entries(report.regionLoad)) {
      if (load.slots <= 0) continue;
      const reportedKey = `${key}/${report.region}`;
      const measuredAtMs = nowMs - load.ageMs;
      const previous = this.reportedLoads.get(reportedKey);
      if (previous && previous.measuredAtMs > measuredAtMs) continue;
      const freeFraction = load.freeSlots / load.slots;
      this.reportedLoads.set(reportedKey, {freeFraction, measuredAtMs});
    }
  }

  /**
   * Measures a service in a region from the owners' reports. If the owners of less than half of the
   * slots have fresh reports, the last report about the region is used instead.
   * @param service - The service.
   * @param region - The region.
   * @param nowMs - Current time in milliseconds.
   * @returns The measurement with its age.
   */
  measure(service: Service, region: string, nowMs: number): RegionMeasurement {
    const {directory, drains, loads, getReportedFreeSlots} = this.options;
    const owners = directory.getOwners(service, region, nowMs);
    let slots = 0;
    let freshSlots = 0;
    let freeSlots = 0;
    let freshAgeMs = 0;
    for (const entry of owners) {
      slots += entry.slots;
      const reported = getReportedFreeSlots(entry.id, service);
      if (reported) {
        const {freeSlots: free, ageMs} = reported;
        loads.recordReport(entry.loadKey, free, ageMs, nowMs);
      }
      const ageMs = loads.getReportAgeMs(entry.loadKey, nowMs);
      if (ageMs > MAX_MEASUREMENT_AGE_MS) continue;
      freshSlots += entry.slots;
      freeSlots += Math.min(
        loads.getReportedFreeSlots(entry.loadKey),
        entry.slots,
      );
      freshAgeMs = Math.max(freshAgeMs, ageMs);
    }
    const commonFields = {
      slots,
      isDrained: drains.isRegionDrained(region),
      isFailed: slots === 0,
    };
    if (freshSlots > 0 && freshSlots >= slots / 2) {
      const scale = slots / freshSlots;
      return {...commonFields, freeSlots: freeSlots * scale, ageMs: freshAgeMs};
    }
    const reportedLoad = this.reportedLoads.get(
      `${getServiceKey(service)}/${region}`,
    );
    return {
      ...commonFields,
      freeSlots: (reportedLoad?.freeFraction ?? 0) * slots,
      ageMs: nowMs - (reportedLoad?.measuredAtMs ?? -Infinity),
    };
  }
}
