import type {CachingEndpoint} from './caching_endpoint.js';
import type {SimRequestKind} from './deployment.js';

/** A request for which a policy chooses an endpoint. */
export interface PolicyRequest {
  kind: SimRequestKind;
  object: string;
  /** Zone of the instance that took the request. */
  zone: string;
  /** Number of the instance within its zone. */
  instance: number;
  /** Time that the caller still waits, in milliseconds. */
  remainingMs: number;
  tried: ReadonlySet<string>;
}

/** Where a request is sent, or when a refused caller should come back. */
export type PolicyChoice =
  | {endpoint: CachingEndpoint; retryAfterMs?: undefined}
  | {endpoint?: undefined; retryAfterMs: number};

/** Chooses endpoints for the simulation. */
export interface DirectPolicy {
  readonly name: string;
  choose(request: PolicyRequest): PolicyChoice;
  /** Takes over how a request ended at an endpoint. */
  observe?(
    request: PolicyRequest,
    endpoint: CachingEndpoint,
    result: {isRefused: boolean; sentAt: number},
  ): void;
}
