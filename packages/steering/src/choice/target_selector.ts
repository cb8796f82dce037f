import type {Outcome, RequestClass} from '@primrosestage/common';
import type {InstanceInfo, Service} from '../topology/index.js';

/** Describes the request that needs a target. */
export interface TargetRequest {
  service: Service;
  requestClass: RequestClass;
  sourceRegion: string;
  /** Instances that were tried before. */
  tried: ReadonlySet<string>;
}

/** Describes the owner instance that a request is sent to. */
export interface Target {
  owner: InstanceInfo;
  /** Region of the endpoints that the request is meant for. */
  region: string;
  /** Zone of the endpoints that the request is meant for. */
  zone: string;
}

/** Describes the result of an attempt at a target. */
export interface TargetResult {
  target: Target;
  service: Service;
  outcome: Outcome;
  /** Free slots that the owner reported, if it did. */
  freeSlots?: number;
  latencyMs: number;
}

/** Selects the owner instances that requests are sent to. */
export interface TargetSelector {
  /**
   * Selects the next target of a request and counts it as in flight.
   * @param request - The request and the instances tried before.
   * @returns The target, or undefined if shares and caps allow none.
   */
  selectTarget(request: TargetRequest): Target | undefined;

  /**
   * Records the end of an attempt that `selectTarget` counted as in flight.
   * @param result - Target, outcome, reported free slots and latency.
   */
  recordResult(result: TargetResult): void;
}
