import type {Priority} from '@primrosestage/common';
import type {EndpointHealth} from './endpoint_health.js';
import type {RefusalReason} from './refusal_reason.js';
import type {RequestOrigin} from './request_origin.js';

/** Describes a request that wants a slot; times are monotonic milliseconds. */
export interface AdmissionRequest {
  readonly id: string;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly priority: Priority;
  readonly origin: RequestOrigin;
  /** Endpoints that may not run it, because an earlier attempt failed there. */
  readonly excluded?: ReadonlySet<string>;
}

/** Holds the admission state of one endpoint. */
export interface AdmissionEndpoint {
  readonly id: string;
  /** Requests that this instance admitted and that have not ended. */
  readonly inFlight: number;
  readonly lastAdmittedAt: number;
  readonly health: EndpointHealth;
}

/** Holds the admission state of one service at one owner. */
export interface AdmissionState {
  readonly endpoints: readonly AdmissionEndpoint[];
  /** Requests that wait, in order of arrival. */
  readonly waiting: readonly AdmissionRequest[];
  /** Whether the newest request is served first. */
  readonly isLifo: boolean;
  /** Begin of the window in which the shortest wait is measured. */
  readonly windowStartedAt: number;
  /** Shortest wait in the window, in milliseconds. */
  readonly windowMinWaitMs: number;
}

/** Gives the rules that hold at the time of an event. */
export interface AdmissionRules {
  /**
   * Gets the most requests that may be in flight at an endpoint.
   * @param endpointId - Id of the endpoint.
   */
  getLimit(endpointId: string): number;
  /** Fraction of the owned slots that other regions and bulk requests may not use. */
  readonly headroom: number;
  /** Longest wait in milliseconds. */
  readonly maxQueueMs: number;
  /** Length of slow start in milliseconds. */
  readonly slowStartMs: number;
  /** Median service time in milliseconds; 0 where it is not known. */
  readonly medianMs: number;
}

/** Names what happened to a service's requests or endpoints. */
export enum AdmissionEventKind {
  Arrived = 'arrived',
  Released = 'released',
  Cancelled = 'cancelled',
  HealthChanged = 'health-changed',
  /** Time passed, or a limit changed. */
  Ticked = 'ticked',
}

/** Describes an event. */
export type AdmissionEvent =
  | {
      readonly kind: AdmissionEventKind.Arrived;
      readonly request: AdmissionRequest;
    }
  | {readonly kind: AdmissionEventKind.Released; readonly endpointId: string}
  | {readonly kind: AdmissionEventKind.Cancelled; readonly requestId: string}
  | {
      readonly kind: AdmissionEventKind.HealthChanged;
      readonly endpointId: string;
      readonly health: EndpointHealth;
    }
  | {readonly kind: AdmissionEventKind.Ticked};

/** Decides on one request: it runs at an endpoint, or it is refused. */
export type AdmissionDecision =
  | {
      readonly requestId: string;
      readonly endpointId: string;
      readonly waitedMs: number;
    }
  | {
      readonly requestId: string;
      readonly endpointId?: undefined;
      readonly reason: RefusalReason;
    };

/** Holds the state after an event and the decisions that it caused. */
export interface AdmissionResult {
  readonly state: AdmissionState;
  readonly decisions: readonly AdmissionDecision[];
}
