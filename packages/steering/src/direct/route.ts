import type {ClientAccount} from './client_account.js';
import type {RequestKind} from './request_kind.js';

/** Service that receives a share of a route's requests. */
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
  /** Maximum time until the caller has a final answer, in milliseconds; 0 if unlimited. */
  timeoutMs: number;
  /** Latency objective in milliseconds; 0 if there is none. */
  objectiveMs: number;
  /** Priority under overload; 0 is the most urgent. */
  priority: number;
  /** Maximum number of endpoints to which one request may be sent. */
  attempts: number;
  /** Whether requests for an object are faster on an endpoint that has handled it before. */
  isSticky: boolean;
  /** Regions in which requests may run; empty for all regions. */
  homeRegions: readonly string[];
  /** Whether requests need no account; has no effect in a deployment without accounts. */
  isPublic?: boolean;
}

/** Service that is run by backend servers. */
export interface DirectService {
  name: string;
  healthPath: string;
  /** Maximum number of connections that one endpoint accepts in total. */
  maxConnections: number;
  /** Duration of a cold start in milliseconds. */
  coldMs: number;
  /** Requests per second that a cold endpoint can handle; 0 if unlimited. */
  coldPerSecond: number;
}

/** Limits of the size of requests and of the time that callers may take or stay idle. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the route configuration. */
export interface RouteConfiguration {
  /** Increases with each change. */
  version: number;
  routes: readonly Route[];
  services: ReadonlyMap<string, DirectService>;
  limits: CallerLimits;
  /** Client accounts; undefined in a deployment that has none, where requests carry no keys. */
  accounts?: readonly ClientAccount[];
}
