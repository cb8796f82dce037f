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

/** Configures the monitor. */
export interface RegionMonitorOptions {
  directory: OwnerDirectory;
  drains: DrainView;
  loads: OwnerLoads;
  getReportedFree(
    instanceId: string,
    service: Service,
  ): FreeSlotsReport | undefined;
}

interface Summary {
  freeFraction: number;
  measuredAtMs: number;
}

/** Measures how many slots of a service are free in a region. */
export class RegionMonitor {
  private readonly summaries = new Map<string, Summary>();

  constructor(private readonly options: RegionMonitorOptions) {}

  /**
   * Takes the measurements that an instance of a region made of it.
   * @param report - The instance's report.
   * @param nowMs - Present time in milliseconds.
   */
  addReport(report: RoutingReport, nowMs: number): void {
    for (const [key, load] of Object.entries(report.regionLoad)) {
      if (load.slots <= 0) continue;
      const summaryKey = `${key}/${report.region}`;
      const measuredAtMs = nowMs - load.ageMs;
      const known = this.summaries.get(summaryKey);
      if (known && known.measuredAtMs > measuredAtMs) continue;
      const freeFraction = load.freeSlots / load.slots;
      this.summaries.set(summaryKey, {freeFraction, measuredAtMs});
    }
  }

  /**
   * Measures a service in a region from the owners' reports, or from a report about the region
   * where the owners of less than half of its slots were heard.
   * @param service - The service.
   * @param region - The region.
   * @param nowMs - Present time in milliseconds.
   * @returns The measurement with its age.
   */
  measure(service: Service, region: string, nowMs: number): RegionMeasurement {
    const {directory, drains, loads, getReportedFree} = this.options;
    const owners = directory.getOwners(service, region, nowMs);
    let slots = 0;
    let freshSlots = 0;
    let freeSlots = 0;
    let freshAgeMs = 0;
    for (const entry of owners) {
      slots += entry.slots;
      const reported = getReportedFree(entry.id, service);
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
    const common = {
      slots,
      isDrained: drains.isRegionDrained(region),
      isFailed: slots === 0,
    };
    if (freshSlots > 0 && freshSlots >= slots / 2) {
      const scale = slots / freshSlots;
      return {...common, freeSlots: freeSlots * scale, ageMs: freshAgeMs};
    }
    const summary = this.summaries.get(`${getServiceKey(service)}/${region}`);
    return {
      ...common,
      freeSlots: (summary?.freeFraction ?? 0) * slots,
      ageMs: nowMs - (summary?.measuredAtMs ?? -Infinity),
    };
  }
}
