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
import {ShareBook} from './share_book.js';

/** Time between movements of the shares, in milliseconds. */
const UPDATE_INTERVAL_MS = 500;

/** Most regions asked for their measurements after one movement. */
const MAX_POLLS_PER_UPDATE = 2;

/** Allows for rounding in sums of shares. */
const SHIFT_TOLERANCE = 1e-9;

/** Configures routing. */
export interface RoutingTaskOptions {
  topology: Topology;
  self: InstanceInfo;
  ownership: EndpointOwnership;
  configuration: ConfigurationView;
  timers: TimerService;
  monitor: InvariantMonitor;
  /** Gives a number of at least 0 and below 1. */
  random(): number;
  /** Gets what this instance believes of another one. */
  getLiveness(instanceId: string): Liveness;
  /** Gets the free slots that an owner reported in its last heartbeat. */
  getReportedFree(
    instanceId: string,
    service: Service,
  ): FreeSlotsReport | undefined;
  /** Gets the number of instances of a region by the settings or the platform's list. */
  getMemberCount(region: string): number;
  /** Asks another instance for its report; undefined where it does not answer. */
  fetchReport(instance: InstanceInfo): Promise<RoutingReport | undefined>;
}

/** Selects the targets of requests by shares, caps, links and the loads of owners. */
export class RoutingTask implements TargetSelector, AsyncDisposable {
  /** Meters the bodies that pass between regions. */
  readonly links: LinkMeter;
  private readonly drains: DrainView;
  private readonly directory: OwnerDirectory;
  private readonly regions: RegionMonitor;
  private readonly book: ShareBook;
  private readonly loads = new OwnerLoads();
  private readonly polls = new Set<string>();
  private readonly ticker: AsyncDisposable;
  private refused = 0;

  constructor(private readonly options: RoutingTaskOptions) {
    const {topology, configuration, timers} = options;
    this.drains = new DrainView(topology, () => configuration.getDrains());
    this.directory = new OwnerDirectory({...options, drains: this.drains});
    this.regions = new RegionMonitor({
      directory: this.directory,
      drains: this.drains,
      loads: this.loads,
      getReportedFree: options.getReportedFree,
    });
    this.book = new ShareBook({
      topology,
      configuration,
      getMemberCount: options.getMemberCount,
      measure: (service, region, nowMs) =>
        this.regions.measure(service, region, nowMs),
    });
    this.links = new LinkMeter({
      ...options,
      getCapMbit: (from, to) => this.getCapMbit(from, to),
    });
    this.ticker = timers.every(UPDATE_INTERVAL_MS, () => this.update());
  }

  /** Takes the present shares from a peer of the same region; without one they begin at the baseline. */
  async loadPeerShares(): Promise<void> {
    const {topology, self, fetchReport} = this.options;
    const peers = topology
      .getInstancesOfRegion(self.region)
      .filter(({id}) => id !== self.id);
    const reports = await Promise.all(peers.map(peer => fetchReport(peer)));
    const report = reports.find(found => found !== undefined);
    for (const [key, weights] of Object.entries(report?.shares ?? {})) {
      this.book.setStart(key, self.region, weights);
    }
  }

  selectTarget(request: TargetRequest): Target | undefined {
    const nowMs = this.options.timers.now();
    const {topology} = this.options;
    const source = this.getSourceRegion(request.sourceRegion);
    const {state} = this.book.getEntry(request.service, source, nowMs);
    const regions =
      request.tried.size === 0
        ? [topology.regions[state.selectRegion(nowMs)] ?? source]
        : this.getTriedRegions(request.tried);
    const target =
      this.chooseInRegions(regions, request, nowMs) ??
      this.chooseSpill(source, regions, request, nowMs) ??
      this.chooseSuspected(regions, request, nowMs);
    if (!target) {
      this.refused++;
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
    this.book
      .getEntry(service, this.options.self.region, nowMs)
      .busyMs.add(nowMs, latencyMs);
  }

  /** Says whether an instance, its zone or its region is drained. */
  isInstanceDrained(instance: InstanceInfo): boolean {
    return this.drains.isInstanceDrained(instance);
  }

  /** Gets what other instances may ask of this one. */
  getReport(): RoutingReport {
    const {topology, self, timers} = this.options;
    const nowMs = timers.now();
    const report: RoutingReport = {
      region: self.region,
      shares: {},
      regionLoad: {},
    };
    for (const {service, sourceRegion, state} of this.book.getEntries()) {
      if (sourceRegion !== self.region) continue;
      report.shares[getServiceKey(service)] = this.nameWeights(state.vector);
    }
    for (const service of topology.services) {
      const measured = this.regions.measure(service, self.region, nowMs);
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
      shares: [...this.book.getEntries()].map(entry => ({
        team: entry.service.team,
        service: entry.service.name,
        sourceRegion: entry.sourceRegion,
        shares: this.nameWeights(entry.state.vector),
        target: this.nameWeights(entry.state.targetVector),
        shift: entry.state.getShift(nowMs),
        shiftCap: this.book.getPreset(entry.service).shiftCap,
        spilled: entry.state.getSpilledFraction(nowMs),
      })),
      headroom: topology.services.flatMap(service =>
        topology.regions.map(region => {
          const measured = this.regions.measure(service, region, nowMs);
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
      refused: this.refused,
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.ticker[Symbol.asyncDispose]();
  }

  private update(): void {
    const {timers, monitor} = this.options;
    const nowMs = timers.now();
    const unmeasured = this.book.update(nowMs);
    this.links.update(nowMs);
    for (const {service, sourceRegion, state} of this.book.getEntries()) {
      const shift = state.getShift(nowMs);
      const {shiftCap} = this.book.getPreset(service);
      monitor.check(
        Invariant.ShiftUnderCap,
        shift <= shiftCap + SHIFT_TOLERANCE,
        {service: getServiceKey(service), sourceRegion, shift, shiftCap},
      );
    }
    for (const region of [...unmeasured].slice(0, MAX_POLLS_PER_UPDATE)) {
      if (!this.polls.has(region)) void this.pollRegion(region);
    }
  }

  private async pollRegion(region: string): Promise<void> {
    const {topology, timers, random, getLiveness, fetchReport} = this.options;
    const peers = topology
      .getInstancesOfRegion(region)
      .filter(({id}) => getLiveness(id) === Liveness.Live);
    const peer = peers[Math.floor(random() * peers.length)];
    if (!peer) return;
    this.polls.add(region);
    try {
      const report = await fetchReport(peer);
      if (report) this.regions.addReport(report, timers.now());
    } finally {
      this.polls.delete(region);
    }
  }

  private chooseInRegions(
    regions: readonly string[],
    request: TargetRequest,
    nowMs: number,
  ): Target | undefined {
    const {service, tried} = request;
    for (const region of regions) {
      if (!this.links.isOpen(region, service.priority, nowMs)) continue;
      const owners = this.directory.getOwners(service, region, nowMs);
      const target = this.chooseTarget(owners, region, tried, nowMs);
      if (target) return target;
    }
    return undefined;
  }

  /** Chooses a suspected owner as the last resort of a request that would be refused otherwise. */
  private chooseSuspected(
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

  private chooseSpill(
    source: string,
    selected: readonly string[],
    request: TargetRequest,
    nowMs: number,
  ): Target | undefined {
    const {service} = request;
    const {headroom} = this.book.getPreset(service);
    const others = this.options.topology.regions
      .filter(region => !selected.includes(region))
      .filter(region => {
        const measured = this.regions.measure(service, region, nowMs);
        const {slots, freeSlots, ageMs, isDrained, isFailed} = measured;
        if (isDrained || isFailed) return false;
        return ageMs === Infinity || freeSlots > headroom * slots;
      })
      .sort((a, b) => this.getLatency(source, a) - this.getLatency(source, b));
    const target = this.chooseInRegions(others, request, nowMs);
    if (!target) return undefined;
    const {state} = this.book.getEntry(service, source, nowMs);
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
      service => this.book.getPreset(service).linkCaps[`${from}>${to}`],
    );
    const known = caps.filter(cap => cap !== undefined);
    return known.length > 0 ? Math.min(...known) : undefined;
  }

  private nameWeights(vector: ShareVector): Record<string, number> {
    const {regions} = this.options.topology;
    return Object.fromEntries(regions.map((name, i) => [name, vector[i] ?? 0]));
  }
}
