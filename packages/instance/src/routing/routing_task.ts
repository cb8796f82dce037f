import {
  Invariant,
  type InvariantMonitor,
  type TimerService,
} from '@primrosestage/common';
import type {ConfigurationView} from '@primrosestage/control';
import {
  chooseOwner,
  type EndpointOwnership,
  getServiceKey,
  type InstanceInfo,
  Liveness,
  OwnerLoads,
  type Service,
  type ShareVector,
  type Target,
  type TargetRequest,
  type TargetResult,
  type TargetSelector,
  type Topology,
} from '@primrosestage/steering';
import {DrainView} from './drain_view.js';
import {LinkMeter} from './link_meter.js';
import {
  type DirectoryEntry,
  getLoadKey,
  OwnerDirectory,
} from './owner_directory.js';
import {RegionMonitor} from './region_monitor.js';
import type {FreeSlotsReport, RoutingReport} from './routing_report.js';
import type {RoutingStatus} from './routing_status.js';
import {ShareTable} from './share_table.js';

/** Interval between updates of the shares, in milliseconds. */
const UPDATE_INTERVAL_MS = 500;

/** Maximum number of regions that are polled for measurements after one update. */
const MAX_POLLS_PER_UPDATE = 2;

/** Tolerance for rounding errors in sums of shares. */
const SHIFT_TOLERANCE = 1e-9;

/** Configures the routing task. */
export interface RoutingTaskOptions {
  topology: Topology;
  self: InstanceInfo;
  ownership: EndpointOwnership;
  configuration: ConfigurationView;
  timers: TimerService;
  monitor: InvariantMonitor;
  /** Returns a random number of at least 0 and below 1. */
  random(): number;
  /** Gets the liveness of another instance as seen by this one. */
  getLiveness(instanceId: string): Liveness;
  /** Gets the free slots that an owner reported in its last heartbeat. */
  getReportedFreeSlots(
    instanceId: string,
    service: Service,
  ): FreeSlotsReport | undefined;
  /** Gets the number of instances in a region from the settings or the platform's list. */
  getInstanceCount(region: string): number;
  /** Fetches the report of another instance; undefined if it does not answer. */
  fetchReport(instance: InstanceInfo): Promise<RoutingReport | undefined>;
}

/** Selects the targets of requests by shares, caps, links and the loads of owners. */
export class RoutingTask implements TargetSelector, AsyncDisposable {
  /** Limits the rate at which bodies are transferred between regions. */
  readonly links: LinkMeter;
  private readonly drains: DrainView;
  private readonly directory: OwnerDirectory;
  private readonly regionMonitor: RegionMonitor;
  private readonly shareTable: ShareTable;
  private readonly loads = new OwnerLoads();
  private readonly pendingPolls = new Set<string>();
  private readonly updateSchedule: AsyncDisposable;
  private refusedCount = 0;

  constructor(private readonly options: RoutingTaskOptions) {
    const {topology, configuration, timers} = options;
    this.drains = new DrainView(topology, () => configuration.getDrains());
    this.directory = new OwnerDirectory({...options, drains: this.drains});
    this.regionMonitor = new RegionMonitor({
      directory: this.directory,
      drains: this.drains,
      loads: this.loads,
      getReportedFreeSlots: options.getReportedFreeSlots,
    });
    this.shareTable = new ShareTable({
      topology,
      configuration,
      getInstanceCount: options.getInstanceCount,
      measure: (service, region, nowMs) =>
        this.regionMonitor.measure(service, region, nowMs),
    });
    this.links = new LinkMeter({
      ...options,
      getCapMbit: (from, to) => this.getCapMbit(from, to),
    });
    this.updateSchedule = timers.every(UPDATE_INTERVAL_MS, () => this.update());
  }

  /**
   * Initializes the shares from those of a peer in the same region. Without a report of a peer they
   * start at the baseline.
   */
  async loadPeerShares(): Promise<void> {
    const {topology, self, fetchReport} = this.options;
    const peers = topology
      .getInstancesOfRegion(self.region)
      .filter(({id}) => id !== self.id);
    const reports = await Promise.all(peers.map(peer => fetchReport(peer)));
    const report = reports.find(found => found !== undefined);
    for (const [key, weights] of Object.entries(report?.shares ?? {})) {
      this.shareTable.setInitialShares(key, self.region, weights);
    }
  }

  selectTarget(request: TargetRequest): Target | undefined {
    const nowMs = this.options.timers.now();
    const {topology} = this.options;
    const source = this.getSourceRegion(request.sourceRegion);
    const {state} = this.shareTable.getEntry(request.service, source, nowMs);
    const regions =
      request.tried.size === 0
        ? [topology.regions[state.selectRegion(nowMs)] ?? source]
        : this.getTriedRegions(request.tried);
    const target =
      this.chooseInRegions(regions, request, nowMs) ??
      this.chooseSpilloverTarget(source, regions, request, nowMs) ??
      this.chooseSuspectedTarget(regions, request, nowMs);
    if (!target) {
      this.refusedCount++;
      return undefined;
    }
    this.loads.recordStart(getLoadKey(target.owner.id, request.service));
    return target;
  }

  recordResult(result: TargetResult): void {
    const {target, service, outcome, freeSlots, latencyMs} = result;
    const nowMs = this.options.timers.now();
    const key = getLoadKey(target.owner.id, service);
    this.loads.recordEnd(key, outcome, freeSlots, nowMs);
    this.shareTable
      .getEntry(service, this.options.self.region, nowMs)
      .latencySumMs.add(nowMs, latencyMs);
  }

  /** Returns whether an instance, its zone or its region is drained. */
  isInstanceDrained(instance: InstanceInfo): boolean {
    return this.drains.isInstanceDrained(instance);
  }

  /** Gets the routing report for other instances. */
  getReport(): RoutingReport {
    const {topology, self, timers} = this.options;
    const nowMs = timers.now();
    const report: RoutingReport = {
      region: self.region,
      shares: {},
      regionLoad: {},
    };
    for (const {service, sourceRegion, state} of this.shareTable.getEntries()) {
      if (sourceRegion !== self.region) continue;
      report.shares[getServiceKey(service)] = this.toWeightsByRegion(
        state.vector,
      );
    }
    for (const service of topology.services) {
      const measured = this.regionMonitor.measure(service, self.region, nowMs);
      const {slots, freeSlots, ageMs} = measured;
      if (ageMs === Infinity) continue;
      report.regionLoad[getServiceKey(service)] = {slots, freeSlots, ageMs};
    }
    return report;
  }

  /** Gets shares, headroom and use of links for status and metrics. */
  getStatus(): RoutingStatus {
    const {topology, timers} = this.options;
    const nowMs = timers.now();
    return {
      shares: [...this.shareTable.getEntries()].map(entry => ({
        team: entry.service.team,
        service: entry.service.name,
        sourceRegion: entry.sourceRegion,
        shares: this.toWeightsByRegion(entry.state.vector),
        target: this.toWeightsByRegion(entry.state.targetVector),
        shift: entry.state.getShift(nowMs),
        shiftCap: this.shareTable.getPreset(entry.service).shiftCap,
        spilled: entry.state.getSpilledFraction(nowMs),
      })),
      headroom: topology.services.flatMap(service =>
        topology.regions.map(region => {
          const measured = this.regionMonitor.measure(service, region, nowMs);
          const {ageMs} = measured;
          return {
            team: service.team,
            service: service.name,
            region,
            ...measured,
            ageMs: ageMs === Infinity ? null : ageMs,
          };
        }),
      ),
      links: this.links.getStatus(nowMs),
      refused: this.refusedCount,
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.updateSchedule[Symbol.asyncDispose]();
  }

  private update(): void {
    const {timers, monitor} = this.options;
    const nowMs = timers.now();
    const staleRegions = this.shareTable.update(nowMs);
    this.links.reconfigure(nowMs);
    for (const {service, sourceRegion, state} of this.shareTable.getEntries()) {
      const shift = state.getShift(nowMs);
      const {shiftCap} = this.shareTable.getPreset(service);
      monitor.check(
        Invariant.ShiftWithinCap,
        shift <= shiftCap + SHIFT_TOLERANCE,
        {service: getServiceKey(service), sourceRegion, shift, shiftCap},
      );
    }
    for (const region of [...staleRegions].slice(0, MAX_POLLS_PER_UPDATE)) {
      if (!this.pendingPolls.has(region)) void this.pollRegion(region);
    }
  }

  private async pollRegion(region: string): Promise<void> {
    const {topology, timers, random, getLiveness, fetchReport} = this.options;
    const peers = topology
      .getInstancesOfRegion(region)
      .filter(({id}) => getLiveness(id) === Liveness.Live);
    const peer = peers[Math.floor(random() * peers.length)];
    if (!peer) return;
    this.pendingPolls.add(region);
    try {
      const report = await fetchReport(peer);
      if (report) this.regionMonitor.addReport(report, timers.now());
    } finally {
      this.pendingPolls.delete(region);
    }
  }

  private chooseInRegions(
    regions: readonly string[],
    request: TargetRequest,
    nowMs: number,
  ): Target | undefined {
    const {service, tried} = request;
    for (const region of regions) {
      if (!this.links.canAcceptRequests(region, service.priority, nowMs))
        continue;
      const owners = this.directory.getOwners(service, region, nowMs);
      const target = this.chooseTarget(owners, region, tried, nowMs);
      if (target) return target;
    }
    return undefined;
  }

  /** Chooses a suspected owner as a last resort for a request that would otherwise be refused. */
  private chooseSuspectedTarget(
    regions: readonly string[],
    {service, tried}: TargetRequest,
    nowMs: number,
  ): Target | undefined {
    const region = this.options.self.region;
    if (!regions.includes(region)) return undefined;
    const owners = this.directory.getSuspectedOwners(service, region);
    return this.chooseTarget(owners, region, tried, nowMs);
  }

  private chooseTarget(
    owners: readonly DirectoryEntry[],
    region: string,
    tried: ReadonlySet<string>,
    nowMs: number,
  ): Target | undefined {
    const {random} = this.options;
    const chosen = chooseOwner(owners, {
      loads: this.loads,
      tried,
      random,
      nowMs,
    });
    const entry = owners.find(({id}) => id === chosen?.id);
    if (!entry) return undefined;
    return {owner: entry.owner, region, zone: entry.endpointZone};
  }

  private chooseSpilloverTarget(
    source: string,
    selected: readonly string[],
    request: TargetRequest,
    nowMs: number,
  ): Target | undefined {
    const {service} = request;
    const {headroom} = this.shareTable.getPreset(service);
    const otherRegions = this.options.topology.regions
      .filter(region => !selected.includes(region))
      .filter(region => {
        const measured = this.regionMonitor.measure(service, region, nowMs);
        const {slots, freeSlots, ageMs, isDrained, isFailed} = measured;
        if (isDrained || isFailed) return false;
        return ageMs === Infinity || freeSlots > headroom * slots;
      })
      .sort((a, b) => this.getLatency(source, a) - this.getLatency(source, b));
    const target = this.chooseInRegions(otherRegions, request, nowMs);
    if (!target) return undefined;
    const {state} = this.shareTable.getEntry(service, source, nowMs);
    return state.trySpill(nowMs) ? target : undefined;
  }

  private getTriedRegions(tried: ReadonlySet<string>): string[] {
    const regions = [...tried].map(
      id => this.options.topology.getInstance(id)?.region,
    );
    return [...new Set(regions.filter(region => region !== undefined))];
  }

  private getSourceRegion(region: string): string {
    const {topology, self} = this.options;
    return topology.regions.includes(region) ? region : self.region;
  }

  private getLatency(from: string, to: string): number {
    if (from === to) return 0;
    return this.options.topology.getLink(from, to)?.oneWayLatencyMs ?? Infinity;
  }

  private getCapMbit(from: string, to: string): number | undefined {
    const caps = this.options.topology.services.map(
      service => this.shareTable.getPreset(service).linkCaps[`${from}>${to}`],
    );
    const definedCaps = caps.filter(cap => cap !== undefined);
    return definedCaps.length > 0 ? Math.min(...definedCaps) : undefined;
  }

  private toWeightsByRegion(vector: ShareVector): Record<string, number> {
    const {regions} = this.options.topology;
    return Object.fromEntries(regions.map((name, i) => [name, vector[i] ?? 0]));
  }
}
