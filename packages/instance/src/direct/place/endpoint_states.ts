import {
  ColdRateLimiter,
  EndpointLoad,
  hash32,
  type KnownEndpoint,
  WarmObjects,
} from '@primrosestage/steering';
import type {DirectSettings} from '../direct_settings.js';

/** Round-trip times that are assumed before any measurement, in milliseconds. */
const DEFAULT_ROUND_TRIP_MS = {zone: 1, region: 4, otherRegions: 60};
/** Weight of a new sample in the moving average of the round-trip time. */
const ROUND_TRIP_SMOOTHING = 0.3;

/** What this instance has measured of the process of one endpoint. */
export interface EndpointState {
  load: EndpointLoad;
  coldRateLimiter: ColdRateLimiter;
  warmObjects: WarmObjects;
  idHash: number;
  /** Rank of this instance for the endpoint, cached for a version of the member table. */
  rank?: {value: number; version: number};
  roundTripMs?: number;
  bornAt: number;
  wasUnreachable: boolean;
}

/** Holds what this instance has measured of each endpoint. */
export class EndpointStates implements Iterable<[string, EndpointState]> {
  private readonly states = new Map<string, EndpointState>();

  /**
   * Creates the holder.
   * @param settings - Zone and region of this instance.
   */
  constructor(private readonly settings: DirectSettings) {}

  [Symbol.iterator](): Iterator<[string, EndpointState]> {
    return this.states.entries();
  }

  /**
   * Returns the state of an endpoint; another process of it starts with a new one.
   * @param endpoint - The endpoint.
   */
  get(endpoint: KnownEndpoint): EndpointState {
    const {id, bornAt} = endpoint.entry;
    let state = this.states.get(id);
    if (!state || state.bornAt !== bornAt) {
      state = {
        load: new EndpointLoad(),
        coldRateLimiter: state?.coldRateLimiter ?? new ColdRateLimiter(),
        warmObjects: new WarmObjects(),
        idHash: hash32(id),
        bornAt,
        wasUnreachable: false,
      };
      this.states.set(id, state);
    }
    return state;
  }

  /**
   * Discards the state of an endpoint.
   * @param id - Its id.
   */
  delete(id: string): void {
    this.states.delete(id);
  }

  /**
   * Records the time taken to open a connection, as a sample of the round-trip time.
   * @param endpoint - The endpoint.
   * @param connectMs - The time in milliseconds.
   */
  observeConnect(endpoint: KnownEndpoint, connectMs: number): void {
    const state = this.get(endpoint);
    const previous = state.roundTripMs ?? connectMs;
    state.roundTripMs =
      previous + ROUND_TRIP_SMOOTHING * (connectMs - previous);
  }

  /**
   * Returns the round-trip time to an endpoint, in milliseconds.
   * @param endpoint - The endpoint.
   */
  getRoundTripMs(endpoint: KnownEndpoint): number {
    const {roundTripMs} = this.get(endpoint);
    if (roundTripMs !== undefined) return roundTripMs;
    const {zone} = endpoint.entry;
    if (zone === this.settings.zone) return DEFAULT_ROUND_TRIP_MS.zone;
    const isSameRegion =
      this.settings.regionsByZone.get(zone) === this.settings.region;
    return isSameRegion
      ? DEFAULT_ROUND_TRIP_MS.region
      : DEFAULT_ROUND_TRIP_MS.otherRegions;
  }
}
