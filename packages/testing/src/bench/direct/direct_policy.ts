import type {CachingEndpoint} from './caching_endpoint.js';
import type {SimRequestKind} from './deployment.js';

/** A request for which a policy chooses an endpoint. */
export interface PolicyRequest {
  kind: SimRequestKind;
  object: string;
  /** Zone of the instance that received the request. */
  zone: string;
  /** Index of the instance within its zone. */
  instance: number;
  /** Time until the caller's deadline, in milliseconds. */
  remainingMs: number;
  tried: ReadonlySet<string>;
}

/**
 * The endpoint that a request is sent to, the time after which a refused caller retries, or the time
 * for which the instance waits before it chooses again.
 */
export type PolicyChoice =
  | {endpoint: CachingEndpoint; retryAfterMs?: undefined; waitMs?: undefined}
  | {endpoint?: undefined; retryAfterMs: number; waitMs?: undefined}
  | {endpoint?: undefined; retryAfterMs?: undefined; waitMs: number};

/** Chooses endpoints for the simulation. */
export interface DirectPolicy {
  readonly name: string;
  choose(request: PolicyRequest): PolicyChoice;
  /** Records the result of a request at an endpoint. */
  observe?(
    request: PolicyRequest,
    endpoint: CachingEndpoint,
    result: {isRefused: boolean; sentAt: number},
  ): void;
}
