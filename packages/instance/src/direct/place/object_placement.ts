import type {TimerService} from '@primrosestage/common';
import {
  chooseListedInstances,
  chooseRegionPreference,
  type ControlView,
  DemandLevel,
  type KnownEndpoint,
  type MemberTable,
  ObjectDemand,
  type PlacedEndpoint,
  PreferenceLimiter,
  type RegionSlots,
  ServiceRanking,
} from '@primrosestage/steering';
import type {DirectSettings} from '../direct_settings.js';

/** Number of ranked endpoints; later ones replace those that cannot be used. */
const RANKING_DEPTH = 8;
/** Fraction of a region's slots up to which its callers prefer its own endpoints. */
const MAX_UTILIZATION = 0.75;
/** Weight of a new sample in the moving average of open requests. */
const OPEN_REQUESTS_SMOOTHING = 0.1;
/**
 * Utilization of a service above which objects have one endpoint, and below which their demand
 * counts again. Where all slots are busy, further endpoints gain nothing and cost cached objects:
 * with them, 0.080 rather than 0.116 of the simulated callers were served in time at overload.
 */
const SATURATED_ABOVE = 0.9;
const UNSATURATED_BELOW = 0.7;
/** Window of the shift cap, in milliseconds. */
const SHIFT_WINDOW_MS = 2_000;
/** Interval between adjustments of a preference towards its target, in milliseconds. */
const PREFERENCE_STEP_MS = 500;
/** Most objects of a service whose rankings are cached. */
const MAX_OBJECTS = 2_000;

/** Describes the object for which endpoints are ranked. */
export interface PlacementRequest {
  /** Regions in which the request may run; empty for all regions. */
  homeRegions: readonly string[];
  service: string;
  /** Key of the object, or the request id if the request names no object. */
  objectKey: string;
}

/** Placement state of one service and one set of home regions. */
interface ServicePlacement {
  service: string;
  /** Regions in which the objects may be handled; empty if all are allowed. */
  homeRegions: readonly string[];
  ranking: ServiceRanking;
  demand: ObjectDemand;
  limiter: PreferenceLimiter;
  /** Version of the control view from which the endpoints were read. */
  version: number;
  slots: RegionSlots;
  endpointCount: number;
  slotsByRegion: ReadonlyMap<string, number>;
  /** Weight factor of endpoints in this instance's region. */
  preference: number;
  /** Whether the shift cap keeps the preference from reaching its target yet. */
  isAdjusting: boolean;
  adjustedAt: number;
}

/**
 * Ranks endpoints for objects by rendezvous hashing. All instances of a region compute the same
 * ranking, so that requests for an object reach a few endpoints that have it cached.
 */
export class ObjectPlacement {
  private readonly placements = new Map<string, ServicePlacement>();
  private readonly openRequests = new Map<string, number>();
  private readonly saturatedServices = new Set<string>();
  /** Instances of this region to which callers are directed. */
  private instanceCount = 1;
  private readonly demands = new Map<string, DemandLevel>();

  /**
   * Creates the placement.
   * @param settings - Region of this instance, zones and the shift cap.
   * @param view - Endpoints and evacuated zones.
   * @param members - The instances whose open requests make up the demand.
   * @param timers - The clock.
   */
  constructor(
    private readonly settings: DirectSettings,
    private readonly view: ControlView,
    private readonly members: MemberTable,
    private readonly timers: TimerService,
  ) {}

  /** Moving averages of the requests that this instance has open, by service. */
  get averageOpenRequests(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.openRequests);
  }

  /**
   * Records a sample of this instance's open requests and adjusts the preferences.
   * @param open - Open requests by service; a missing service counts as zero.
   */
  updateDemand(open: ReadonlyMap<string, number>): void {
    const now = this.timers.now();
    const {region: ownRegion} = this.settings;
    this.instanceCount = chooseListedInstances(
      this.members.getServing(now).filter(({region}) => region === ownRegion),
    ).length;
    const services = new Set([...open.keys(), ...this.openRequests.keys()]);
    for (const service of services) {
      this.updateServiceDemand(service, open.get(service) ?? 0);
    }
    for (const placement of this.placements.values()) {
      const isDue = now - placement.adjustedAt >= PREFERENCE_STEP_MS;
      if (placement.isAdjusting && isDue) this.adjustPreference(placement);
    }
  }

  /**
   * Ranks the endpoints for an object.
   * @param request - The object, its service and the allowed regions.
   * @returns Endpoint ids, best first.
   */
  rank({homeRegions, service, objectKey}: PlacementRequest): string[] {
    const placement = this.getPlacement(service, homeRegions);
    if (placement.version !== this.view.version)
      this.updateEndpoints(placement);
    return placement.ranking.rank(
      `${service} ${objectKey}`,
      placement.preference,
    );
  }

  /**
   * Counts a request in the demand for its object.
   * @param request - The object, its service and the allowed regions.
   * @param serviceMs - Service time of a request for a cached object, in milliseconds.
   */
  countRequest(request: PlacementRequest, serviceMs: number): void {
    const {homeRegions, service, objectKey} = request;
    const {demand, slots, endpointCount} = this.getPlacement(
      service,
      homeRegions,
    );
    const meanSlots = (slots.own + slots.other) / Math.max(1, endpointCount);
    demand.count(
      objectKey,
      {instances: this.instanceCount, serviceMs, slots: meanSlots},
      this.timers.now(),
    );
  }

  /**
   * Returns the number of endpoints of an object, at least 1.
   * @param request - The object, its service and the allowed regions.
   */
  getEndpointCount(request: PlacementRequest): number {
    const {homeRegions, service, objectKey} = request;
    if (this.saturatedServices.has(service)) return 1;
    const {demand} = this.getPlacement(service, homeRegions);
    return demand.getEndpointCount(objectKey);
  }

  /** Number of objects with more than one endpoint, by service. */
  get popularObjectCounts(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const {service, demand} of this.placements.values()) {
      const count = counts.get(service) ?? 0;
      counts.set(service, count + demand.popularObjectCount);
    }
    return counts;
  }

  private updateServiceDemand(service: string, count: number): void {
    const previous = this.openRequests.get(service) ?? count;
    const average = previous + OPEN_REQUESTS_SMOOTHING * (count - previous);
    this.openRequests.set(service, Math.round(average * 100) / 100);
    const slots = this.view.endpointTable.getSlots(service);
    if (slots === 0) return;
    const now = this.timers.now();
    const utilization = this.members.getOpenRequests(service, now) / slots;
    if (utilization > SATURATED_ABOVE) this.saturatedServices.add(service);
    if (utilization < UNSATURATED_BELOW) this.saturatedServices.delete(service);
    if (!this.getDemand(service).update(utilization, now)) return;
    for (const placement of this.placements.values()) {
      if (placement.service === service) this.adjustPreference(placement);
    }
  }

  private getDemand(service: string): DemandLevel {
    let demand = this.demands.get(service);
    if (!demand) {
      demand = new DemandLevel();
      this.demands.set(service, demand);
    }
    return demand;
  }

  private getPlacement(
    service: string,
    homeRegions: readonly string[],
  ): ServicePlacement {
    const key = `${service} ${homeRegions.join()}`;
    let placement = this.placements.get(key);
    if (!placement) {
      const now = this.timers.now();
      const cap = {
        shiftCap: this.settings.bounds.maxShift,
        shiftIntervalMs: SHIFT_WINDOW_MS,
      };
      placement = {
        service,
        homeRegions,
        ranking: new ServiceRanking({
          depth: RANKING_DEPTH,
          maxObjects: MAX_OBJECTS,
        }),
        demand: new ObjectDemand(MAX_OBJECTS),
        limiter: new PreferenceLimiter(cap, now),
        version: -1,
        slots: {own: 0, other: 0},
        endpointCount: 0,
        slotsByRegion: new Map(),
        preference: 1,
        isAdjusting: false,
        adjustedAt: now,
      };
      this.placements.set(key, placement);
    }
    return placement;
  }

  /** Reads the usable endpoints from the control view. */
  private updateEndpoints(placement: ServicePlacement): void {
    placement.version = this.view.version;
    const slots = {own: 0, other: 0};
    const slotsByRegion = new Map<string, number>();
    const endpoints: PlacedEndpoint[] = [];
    for (const endpoint of this.view.endpointTable.getByService(
      placement.service,
    )) {
      const region = this.getUsableRegion(endpoint, placement.homeRegions);
      if (region === undefined) continue;
      const {id, slots: count} = endpoint.entry;
      const isOwn = region === this.settings.region;
      endpoints.push({id, slots: count, isOwn});
      slots[isOwn ? 'own' : 'other'] += count;
      slotsByRegion.set(region, (slotsByRegion.get(region) ?? 0) + count);
    }
    placement.slots = slots;
    placement.endpointCount = endpoints.length;
    placement.slotsByRegion = slotsByRegion;
    placement.ranking.update(endpoints);
    this.adjustPreference(placement);
  }

  /** Returns the region of an endpoint, or undefined if the endpoint must not be used. */
  private getUsableRegion(
    {entry}: KnownEndpoint,
    homeRegions: readonly string[],
  ): string | undefined {
    if (this.view.isEvacuated(entry.zone)) return undefined;
    const region = this.settings.regionsByZone.get(entry.zone);
    if (homeRegions.length === 0) return region ?? '';
    return region !== undefined && homeRegions.includes(region)
      ? region
      : undefined;
  }

  /** Adjusts the preference of a service towards its target within the shift cap. */
  private adjustPreference(placement: ServicePlacement): void {
    const now = this.timers.now();
    const target = this.getTargetPreference(placement);
    placement.preference = placement.limiter.moveTowards(
      target,
      placement.slots,
      now,
    );
    placement.isAdjusting = placement.preference !== target;
    placement.adjustedAt = now;
  }

  /** Assumes equal demand in every zone, so that all instances compute the same target. */
  private getTargetPreference({
    service,
    slots,
    slotsByRegion,
  }: ServicePlacement): number {
    const {plannedUtilization} = this.getDemand(service);
    const total = slots.own + slots.other;
    const zones = [...this.settings.regionsByZone.values()];
    const supplies = [...new Set(zones)].map(region => ({
      region,
      slots: slotsByRegion.get(region) ?? 0,
      demand:
        (total *
          plannedUtilization *
          zones.filter(other => other === region).length) /
        zones.length,
    }));
    return chooseRegionPreference(supplies, MAX_UTILIZATION);
  }
}
