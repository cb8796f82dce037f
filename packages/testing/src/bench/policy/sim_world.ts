import type {Drain, Preset} from '@primrosestage/control';
import type {
  Endpoint,
  InstanceInfo,
  Service,
  Topology,
} from '@primrosestage/steering';
import type {Random} from '../create_random.js';
import type {SimClock} from './sim_clock.js';
import {SimEndpoint} from './sim_endpoint.js';

/** Time that an instance takes to forward a request, in milliseconds. */
export const INSTANCE_DELAY_MS = 0.2;

/** One-way latency within a zone, in milliseconds. */
const INTRA_ZONE_MS = 0.1;

/** Outcome of a simulated request. */
export enum SimOutcome {
  Answered = 'answered',
  /** It was refused without running. */
  Refused = 'refused',
  /** It was sent to an endpoint that did not answer. */
  Failed = 'failed',
}

/** Describes a simulated request; its service time is the same for all policies. */
export interface SimRequest {
  service: Service;
  /** Instance at which it enters the system. */
  ingress: InstanceInfo;
  /** Region of the caller. */
  region: string;
  serviceMs: number;
  /** Reports the outcome and, if it was answered, the region that it ran in. */
  finish(outcome: SimOutcome, region?: string): void;
}

/** Sends requests to endpoints. */
export interface SimPolicy {
  readonly name: string;
  send(request: SimRequest): void;
}

/** Holds the parts of a simulated system that do not depend on the policy. */
export interface SimWorld {
  clock: SimClock;
  topology: Topology;
  endpoints: ReadonlyMap<string, SimEndpoint>;
  /** Source of the policies' random numbers, separate from that of arrivals and service times. */
  random: Random;
  preset: Preset;
  /** Active drains; a change replaces the list. */
  getDrains(): readonly Drain[];
  /** Says whether a zone has lost its instances and endpoints. */
  isDown(zone: string): boolean;
  /** Says whether the loss of a zone is known to the health checks and the membership. */
  isKnownDown(zone: string): boolean;
}

/** Gets the simulated endpoints of a service. */
export function getSimEndpoints(
  {topology, endpoints}: SimWorld,
  {team, name}: Service,
): SimEndpoint[] {
  return topology
    .getEndpoints(team, name)
    .map(({id}) => endpoints.get(id))
    .filter(endpoint => endpoint instanceof SimEndpoint);
}

/**
 * Gets the one-way latency between two instances or endpoints, in milliseconds.
 * @param topology - The topology.
 * @param interZoneMs - One-way latency between zones of a region, in milliseconds.
 * @param from - The sender.
 * @param to - The receiver.
 */
export function getDelayMs(
  topology: Topology,
  interZoneMs: number,
  from: Pick<Endpoint, 'zone' | 'region'>,
  to: Pick<Endpoint, 'zone' | 'region'>,
): number {
  if (from.zone === to.zone) return INTRA_ZONE_MS;
  if (from.region === to.region) return interZoneMs;
  return topology.getLink(from.region, to.region)?.oneWayLatencyMs ?? 0;
}
