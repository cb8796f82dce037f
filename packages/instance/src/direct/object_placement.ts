import type {TimerService} from '@primrosestage/common';
import {
  choosePreference,
  type ControlView,
  DemandLevel,
  hash32,
  type KnownEndpoint,
  type MemberTable,
  PreferenceLimiter,
  type RankedEndpoint,
  rankEndpoints,
  type Route,
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
/** Most rankings that are kept. */
const MAX_RANKINGS = 20_000;

/** Describes what is placed. */
export interface PlacementRequest {
  route: Route;
  service: string;
  /** Names the object, or the request where there is no object. */
  objectKey: string;
}

/**
 * Places objects on endpoints. All instances of a region rank the endpoints of an object alike,
 * so that its requests meet the caches of a few endpoints.
 */
export class ObjectPlacement {
  private readonly rankings = new Map<string, string[]>();
  private readonly ranked = new Map<string, RankedEndpoint[]>();
  private readonly openRequests = new Map<string, number>();
  private readonly demands = new Map<string, DemandLevel>();
  private readonly preferences = new Map<string, PreferenceLimiter>();
  private movedAt = -Infinity;
  private isMoving = false;
  private rankedVersion = -1;

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
    if (this.isMoving && now - this.movedAt >= PREFERENCE_STEP_MS) {
      this.rankedVersion = -1;
    }
  }

  /**
   * Ranks the endpoints for an object.
   * @param request - The object and what bounds where it may be handled.
   * @returns Ids, best first.
   */
  rank({route, service, objectKey}: PlacementRequest): string[] {
    this.refresh();
    const homes = route.homeRegions.join();
    const key = `${service} ${objectKey} ${homes}`;
    let ranking = this.rankings.get(key);
    if (!ranking) {
      const endpoints = this.getRanked(service, route.homeRegions);
      ranking = rankEndpoints(
        hash32(`${service} ${objectKey}`),
        endpoints,
        RANKED,
      );
      this.rankings.set(key, ranking);
    }
    return ranking;
  }

  private refresh(): void {
    if (
      this.rankedVersion === this.view.version &&
      this.rankings.size < MAX_RANKINGS
    ) {
      return;
    }
    this.rankedVersion = this.view.version;
    this.movedAt = this.timers.now();
    this.isMoving = false;
    this.rankings.clear();
    this.ranked.clear();
  }

  private followService(service: string, count: number): void {
    const before = this.openRequests.get(service) ?? count;
    const average = before + OPEN_REQUESTS_SMOOTHING * (count - before);
    this.openRequests.set(service, Math.round(average * 100) / 100);
    const slots = this.view.book
      .getByService(service)
      .reduce((sum, {entry}) => sum + entry.slots, 0);
    if (slots === 0) return;
    const now = this.timers.now();
    const utilization = this.members.getOpenRequests(service, now) / slots;
    if (this.getDemand(service).update(utilization, now)) {
      this.rankedVersion = -1;
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

  private getRanked(
    service: string,
    homes: readonly string[],
  ): RankedEndpoint[] {
    const key = `${service} ${homes.join()}`;
    let ranked = this.ranked.get(key);
    if (!ranked) {
      ranked = this.rankService(service, homes);
      this.ranked.set(key, ranked);
    }
    return ranked;
  }

  private rankService(
    service: string,
    homes: readonly string[],
  ): RankedEndpoint[] {
    const endpoints = this.view.book
      .getByService(service)
      .filter(({entry}) => !this.view.isEvacuated(entry.zone))
      .filter(({entry}) => {
        const region = this.getRegion(entry.zone);
        return (
          homes.length === 0 || (region !== undefined && homes.includes(region))
        );
      });
    const preference = this.movePreference(
      `${service} ${homes.join()}`,
      this.getPreference(endpoints, this.getDemand(service).plannedUtilization),
      endpoints,
    );
    return endpoints.map(endpoint => {
      const {id, slots, zone} = endpoint.entry;
      const isOwn = this.getRegion(zone) === this.settings.region;
      return {
        id,
        hash: hash32(id),
        weight: isOwn ? slots * preference : slots,
      };
    });
  }

  /** Moves the preference of a service towards its target within the shift cap. */
  private movePreference(
    key: string,
    target: number,
    endpoints: readonly KnownEndpoint[],
  ): number {
    const now = this.timers.now();
    let limiter = this.preferences.get(key);
    if (!limiter) {
      const cap = {
        shiftCap: this.settings.bounds.maxShift,
        shiftIntervalMs: SHIFT_WINDOW_MS,
      };
      limiter = new PreferenceLimiter(cap, now);
      this.preferences.set(key, limiter);
    }
    const slots = {own: 0, other: 0};
    for (const {entry} of endpoints) {
      const isOwn = this.getRegion(entry.zone) === this.settings.region;
      slots[isOwn ? 'own' : 'other'] += entry.slots;
    }
    const preference = limiter.move(target, slots, now);
    if (preference !== target) this.isMoving = true;
    return preference;
  }

  /** Assumes the same demand in every zone, so that all instances choose alike. */
  private getPreference(
    endpoints: readonly KnownEndpoint[],
    plannedUtilization: number,
  ): number {
    const {regionsByZone} = this.settings;
    const slotsByRegion = new Map<string, number>();
    let total = 0;
    for (const {entry} of endpoints) {
      const region = this.getRegion(entry.zone) ?? '';
      const before = slotsByRegion.get(region) ?? 0;
      slotsByRegion.set(region, before + entry.slots);
      total += entry.slots;
    }
    const zones = [...regionsByZone.values()];
    const supplies = [...new Set(zones)].map(region => ({
      region,
      slots: slotsByRegion.get(region) ?? 0,
      demand:
        (total *
          plannedUtilization *
          zones.filter(other => other === region).length) /
        zones.length,
    }));
    return choosePreference(supplies, MAX_UTILIZATION);
  }

  private getRegion(zone: string): string | undefined {
    return this.settings.regionsByZone.get(zone);
  }
}
