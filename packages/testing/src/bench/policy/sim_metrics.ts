import {Priority} from '@primrosestage/common';
import type {Topology} from '@primrosestage/steering';
import {build, type Histogram} from 'hdr-histogram-js';
import type {SimEndpoint} from './sim_endpoint.js';
import {SimOutcome, type SimRequest} from './sim_world.js';

/** Time between two samples of the slots in use, in milliseconds. */
export const SAMPLE_MS = 100;

/** Number of samples averaged for the lowest headroom and the peak use. */
const SAMPLES_PER_MEAN = 10;

/** Length of the windows in which shifts are measured, in milliseconds. */
const SHIFT_WINDOW_MS = 10_000;

/** Fraction of the traffic below which a region counts as drained. */
const DRAINED_FRACTION = 0.01;

/** Collects the metrics of a run of a policy. */
export class SimMetrics {
  /** Latencies of answered requests that are not bulk, in microseconds. */
  readonly latencies: Histogram = build({highestTrackableValue: 600_000_000});
  sent = 0;
  refused = 0;
  failed = 0;
  sentBulk = 0;
  shedBulk = 0;
  /** Lowest mean fraction of free slots of a region over one second. */
  lowestHeadroom = 1;
  /** Highest ratio of requests at a region's endpoints to its slots over one second. */
  peakUse = 0;
  private readonly sums = new Map<string, {free: number; use: number}>();
  private samples = 0;
  /** Number of requests by source region, second and target region. */
  private readonly flows = new Map<string, Map<string, number>[]>();

  constructor(
    private readonly topology: Topology,
    private readonly beginMs: number,
  ) {}

  /** Records the outcome of a request. */
  recordOutcome(
    request: SimRequest,
    outcome: SimOutcome,
    nowMs: number,
    latencyMs: number,
    region: string | undefined,
  ): void {
    const isBulk = request.service.priority === Priority.Bulk;
    if (isBulk) {
      this.sentBulk++;
      if (outcome !== SimOutcome.Answered) this.shedBulk++;
    } else {
      this.sent++;
      if (outcome === SimOutcome.Answered) {
        this.latencies.recordValue(Math.max(1, latencyMs * 1000));
      } else if (outcome === SimOutcome.Refused) this.refused++;
      else this.failed++;
    }
    if (region === undefined || isBulk) return;
    const flow = this.flows.get(request.region) ?? [];
    this.flows.set(request.region, flow);
    const second = Math.floor((nowMs - this.beginMs) / 1000);
    const counts = (flow[second] ??= new Map<string, number>());
    counts.set(region, (counts.get(region) ?? 0) + 1);
  }

  /** Samples the slots in use. */
  sample(
    endpoints: Iterable<SimEndpoint>,
    isDown: (endpoint: SimEndpoint) => boolean,
  ): void {
    const usageByRegion = new Map<
      string,
      {slots: number; outstanding: number}
    >();
    for (const endpoint of endpoints) {
      if (isDown(endpoint)) continue;
      const {region, slots, service, team} = endpoint.info;
      const priority = this.topology.getService(team, service)?.priority;
      if (priority === Priority.Bulk) continue;
      const sum = usageByRegion.get(region) ?? {slots: 0, outstanding: 0};
      usageByRegion.set(region, {
        slots: sum.slots + slots,
        outstanding: sum.outstanding + endpoint.outstanding,
      });
    }
    for (const [region, {slots, outstanding}] of usageByRegion) {
      const sum = this.sums.get(region) ?? {free: 0, use: 0};
      sum.free += Math.max(0, 1 - outstanding / slots) / SAMPLES_PER_MEAN;
      sum.use += outstanding / slots / SAMPLES_PER_MEAN;
      this.sums.set(region, sum);
    }
    if (++this.samples % SAMPLES_PER_MEAN !== 0) return;
    for (const {free, use} of this.sums.values()) {
      this.lowestHeadroom = Math.min(this.lowestHeadroom, free);
      this.peakUse = Math.max(this.peakUse, use);
    }
    this.sums.clear();
  }

  /** Gets the largest shift of a source region's answered traffic between adjacent windows. */
  getLargestShift(): number {
    const size = SHIFT_WINDOW_MS / 1000;
    let largest = 0;
    for (const flow of this.flows.values()) {
      for (let second = size; second + size <= flow.length; second++) {
        const before = getTrafficShares(flow.slice(second - size, second));
        const after = getTrafficShares(flow.slice(second, second + size));
        const distance = this.topology.regions.reduce(
          (sum, region) =>
            sum +
            Math.abs((before.get(region) ?? 0) - (after.get(region) ?? 0)),
          0,
        );
        largest = Math.max(largest, distance / 2);
      }
    }
    return largest;
  }

  /**
   * Gets the time from an incident until a region is drained of its own traffic.
   * @param region - The region.
   * @param incidentMs - Time from the start of the measurement to the incident.
   * @returns The time in seconds; Infinity if the region was not drained at the end.
   */
  getDrainSeconds(region: string, incidentMs: number): number {
    const flow = this.flows.get(region) ?? [];
    const isDrained = (counts: Map<string, number> | undefined) =>
      (getTrafficShares([counts]).get(region) ?? 0) < DRAINED_FRACTION;
    let second = flow.length;
    while (second > 0 && isDrained(flow[second - 1])) second--;
    return second === flow.length ? Infinity : second - incidentMs / 1000;
  }
}

/** Sums the counts by region and converts them to fractions of the total. */
function getTrafficShares(
  flows: readonly (Map<string, number> | undefined)[],
): Map<string, number> {
  const sum = new Map<string, number>();
  let total = 0;
  for (const counts of flows) {
    for (const [region, count] of counts ?? []) {
      sum.set(region, (sum.get(region) ?? 0) + count);
      total += count;
    }
  }
  return new Map([...sum].map(([region, count]) => [region, count / total]));
}
