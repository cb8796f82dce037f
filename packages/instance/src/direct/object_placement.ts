import type {TimerService} from '@primrosestage/common';
import {
  chooseRegionPreference,
  type ControlView,
  DemandLevel,
  type KnownEndpoint,
  type MemberTable,
  type PlacedEndpoint,
  PreferenceLimiter,
  type RegionSlots,
  type Route,
  ServiceRanking,
} from '@primrosestage/steering';
import type {DirectSettings} from './direct_settings.js';

/** Endpoints of a ranking; the later ones stand in for those that cannot be used. */
const RANKED = 8;
/** Part of a region's slots up to which its callers prefer its own endpoints. */
const MAX_UTILIZATION = 0.75;
/** Weight of a new sample in the average of open requests. */
const OPEN_REQUESTS_SMOOTHING = 0.1;
/** Window of the shift cap, in milliseconds. */
const SHIFT_WINDOW_MS = 2_000;
/** Time between two steps of a preference that moves, in milliseconds. */
const PREFERENCE_STEP_MS = 500;
/** Most objects of a service whose rankings are kept. */
const MAX_OBJECTS = 2_000;

/** Describes what is placed. */
export interface PlacementRequest {
  route: Route;
  service: string;
  /** Names the object, or the request where there is no object. */
  objectKey: string;
}

/** Placement of the objects of one service that may be handled in the same regions. */
interface PlacedService {
  service: string;
  /** Regions in which the objects may be handled; empty for all. */
  homes: readonly string[];
  ranking: ServiceRanking;
  limiter: PreferenceLimiter;
  /** Version of the view of which the endpoints were taken. */
  version: number;
  slots: RegionSlots;
  slotsByRegion: ReadonlyMap<string, number>;
  /** Factor on the weights of the own region's endpoints. */
  preference: number;
  /** Whether the shift cap keeps the preference from its target. */
  isMoving: boolean;
  movedAt: number;
}

/**
 * Places objects on endpoints. All instances of a region rank the endpoints of an object alike,
 * so that its requests meet the caches of a few endpoints.
 */
export class ObjectPlacement {
  private readonly placed = new Map<string, PlacedService>();
  private readonly openRequests = new Map<string, number>();
  private readonly demands = new Map<string, DemandLevel>();

  /**
   * Creates the placement.
   * @param settings - Place of this instance.
   * @param view - Endpoints and evacuations.
   * @param members - The instances whose demand counts.
   * @param timers - The clock.
   */
  constructor(
    private readonly settings: DirectSettings,
    private readonly view: ControlView,
    private readonly members: MemberTable,
    private readonly timers: TimerService,
  ) {}

  /** Averages of the requests that are open at the endpoints of each service. */
  get averageOpenRequests(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.openRequests);
  }

  /**
   * Takes over a sample of the open requests of this instance.
   * @param open - Open requests by service; a service that is missing has none.
   */
  followDemand(open: ReadonlyMap<string, number>): void {
    const services = new Set([...open.keys(), ...this.openRequests.keys()]);
    for (const service of services) {
      this.followService(service, open.get(service) ?? 0);
    }
    const now = this.timers.now();
    for (const placed of this.placed.values()) {
      const isDue = now - placed.movedAt >= PREFERENCE_STEP_MS;
      if (placed.isMoving && isDue) this.movePreference(placed);
    }
  }

  /**
   * Ranks the endpoints for an object.
   * @param request - The object and what bounds where it may be handled.
   * @returns Ids, best first.
   */
  rank({route, service, objectKey}: PlacementRequest): string[] {
    const placed = this.getPlaced(service, route.homeRegions);
    if (placed.version !== this.view.version) this.takeEndpoints(placed);
    return placed.ranking.rank(`${service} ${objectKey}`, placed.preference);
  }

  private followService(service: string, count: number): void {
    const before = this.openRequests.get(service) ?? count;
    const average = before + OPEN_REQUESTS_SMOOTHING * (count - before);
    this.openRequests.set(service, Math.round(average * 100) / 100);
    const slots = this.view.endpointTable.getSlots(service);
    if (slots === 0) return;
    const now = this.timers.now();
    const utilization = this.members.getOpenRequests(service, now) / slots;
    if (!this.getDemand(service).update(utilization, now)) return;
    for (const placed of this.placed.values()) {
      if (placed.service === service) this.movePreference(placed);
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

  private getPlaced(service: string, homes: readonly string[]): PlacedService {
    const key = `${service} ${homes.join()}`;
    let placed = this.placed.get(key);
    if (!placed) {
      const now = this.timers.now();
      const cap = {
        shiftCap: this.settings.bounds.maxShift,
        shiftIntervalMs: SHIFT_WINDOW_MS,
      };
      placed = {
        service,
        homes,
        ranking: new ServiceRanking({depth: RANKED, maxObjects: MAX_OBJECTS}),
        limiter: new PreferenceLimiter(cap, now),
        version: -1,
        slots: {own: 0, other: 0},
        slotsByRegion: new Map(),
        preference: 1,
        isMoving: false,
        movedAt: now,
      };
      this.placed.set(key, placed);
    }
    return placed;
  }

  /** Takes over the endpoints that may be used now. */
  private takeEndpoints(placed: PlacedService): void {
    placed.version = this.view.version;
    const slots = {own: 0, other: 0};
    const slotsByRegion = new Map<string, number>();
    const endpoints: PlacedEndpoint[] = [];
    for (const endpoint of this.view.endpointTable.getByService(
      placed.service,
    )) {
      const region = this.getUsableRegion(endpoint, placed.homes);
      if (region === undefined) continue;
      const {id, slots: count} = endpoint.entry;
      const isOwn = region === this.settings.region;
      endpoints.push({id, slots: count, isOwn});
      slots[isOwn ? 'own' : 'other'] += count;
      slotsByRegion.set(region, (slotsByRegion.get(region) ?? 0) + count);
    }
    placed.slots = slots;
    placed.slotsByRegion = slotsByRegion;
    placed.ranking.update(endpoints);
    this.movePreference(placed);
  }

  /** Returns the region of an endpoint, or undefined where it may not be used. */
  private getUsableRegion(
    {entry}: KnownEndpoint,
    homes: readonly string[],
  ): string | undefined {
    if (this.view.isEvacuated(entry.zone)) return undefined;
    const region = this.settings.regionsByZone.get(entry.zone);
    if (homes.length === 0) return region ?? '';
    return region !== undefined && homes.includes(region) ? region : undefined;
  }

  /** Moves the preference of a service towards its target within the shift cap. */
  private movePreference(placed: PlacedService): void {
    const now = this.timers.now();
    const target = this.getPreference(placed);
    placed.preference = placed.limiter.moveTowards(target, placed.slots, now);
    placed.isMoving = placed.preference !== target;
    placed.movedAt = now;
  }

  /** Assumes the same demand in every zone, so that all instances choose alike. */
  private getPreference({
    service,
    slots,
    slotsByRegion,
  }: PlacedService): number {
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
