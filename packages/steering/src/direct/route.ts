import type {RequestKind} from './request_kind.js';

/** Names a service that receives a part of a route's requests. */
export interface RouteTarget {
  service: string;
  /** Relative share of the route's requests. */
  weight: number;
}

/** Describes how requests of a host and path prefix are handled. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RequestKind;
  targets: readonly RouteTarget[];
  /** Longest time until the caller has a final answer, in milliseconds; 0 where unbounded. */
  timeoutMs: number;
  /** Latency objective in milliseconds; 0 where there is none. */
  objectiveMs: number;
  /** Rank under overload; 0 is the most urgent. */
  priority: number;
  /** Most endpoints to which one request may be sent. */
  attempts: number;
  /** Whether requests for one object are faster on an endpoint that has handled it. */
  isSticky: boolean;
  /** Regions in which requests may run; empty where all may. */
  homeRegions: readonly string[];
}

/** Describes a service of backend servers. */
export interface DirectService {
  name: string;
  healthPath: string;
  /** Most connections of all callers that one endpoint accepts. */
  maxConnections: number;
  /** Duration of a cold start in milliseconds. */
  coldMs: number;
  /** Requests per second that a cold endpoint bears; 0 where unbounded. */
  coldPerSecond: number;
}

/** Bounds what callers may send and how long they may stay idle. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** Holds one version of the configuration of routes. */
export interface RouteConfiguration {
  /** Rises with each change. */
  version: number;
  routes: readonly Route[];
  services: ReadonlyMap<string, DirectService>;
  limits: CallerLimits;
}
