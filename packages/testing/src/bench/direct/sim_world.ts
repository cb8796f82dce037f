import {type EndpointEntry, EndpointState} from '@primrosestage/steering';
import {SimClock} from '../policy/sim_clock.js';
import {CachingEndpoint} from './caching_endpoint.js';
import type {SimDeployment, SimRequestKind} from './deployment.js';

/** One-way latency within a zone, in milliseconds. */
const INTRA_ZONE_MS = 0.1;

/** Holds the endpoints and latencies of a simulated deployment. */
export class SimWorld {
  readonly clock = new SimClock();
  private readonly endpoints = new Map<string, CachingEndpoint[]>();

  constructor(readonly deployment: SimDeployment) {
    for (const kind of deployment.kinds) {
      const list = Object.entries(kind.endpoints).flatMap(([zone, count]) =>
        Array.from(
          {length: count},
          (_, i) =>
            new CachingEndpoint(createEntry(kind, zone, i), kind, this.clock),
        ),
      );
      this.endpoints.set(kind.name, list);
    }
  }

  /**
   * Returns the endpoints of a kind of request.
   * @param kind - The kind.
   */
  getEndpoints({name}: SimRequestKind): readonly CachingEndpoint[] {
    return this.endpoints.get(name) ?? [];
  }

  /** Returns all endpoints. */
  getAllEndpoints(): CachingEndpoint[] {
    return [...this.endpoints.values()].flat();
  }

  /**
   * Returns the one-way latency between two zones, in milliseconds.
   * @param from - A zone.
   * @param to - A zone.
   */
  getLatencyMs(from: string, to: string): number {
    const {zones, interZoneMs, interRegionMs} = this.deployment;
    if (from === to) return INTRA_ZONE_MS;
    return zones[from] === zones[to] ? interZoneMs : interRegionMs;
  }
}

function createEntry(
  kind: SimRequestKind,
  zone: string,
  i: number,
): EndpointEntry {
  return {
    id: `${kind.name}-${zone}-${i}`,
    service: kind.name,
    address: '127.0.0.1:1',
    zone,
    slots: kind.slots,
    state: EndpointState.Ready,
    coldLeftMs: 0,
    bornAt: 1,
  };
}
