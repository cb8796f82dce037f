import type {Priority} from '@primrosestage/common';
import type {EndpointHealth} from './endpoint_health.js';
import type {RefusalReason} from './refusal_reason.js';
import type {RequestOrigin} from './request_origin.js';

/** Describes a request for a slot; times are monotonic milliseconds. */
export interface AdmissionRequest {
  readonly id: string;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly priority: Priority;
  readonly origin: RequestOrigin;
  /** Endpoints that must not run it because an earlier attempt failed there. */
  readonly excluded?: ReadonlySet<string>;
}

/** Holds the admission state of one endpoint. */
export interface AdmissionEndpoint {
  readonly id: string;
  /** Requests that this instance admitted and that have not completed. */
  readonly inFlight: number;
  readonly lastAdmittedAt: number;
  readonly health: EndpointHealth;
}

/** Holds the admission state of one service at one owner. */
export interface AdmissionState {
  readonly endpoints: readonly AdmissionEndpoint[];
  /** Waiting requests in order of arrival. */
  readonly waiting: readonly AdmissionRequest[];
  /** Whether the newest request is served first. */
  readonly isLifo: boolean;
  /** Start of the window in which the shortest wait is measured. */
  readonly windowStartedAt: number;
  /** Shortest wait in the window, in milliseconds. */
  readonly windowMinWaitMs: number;
}

/** Holds the admission rules in force at the time of an event. */
export interface AdmissionRules {
  /**
   * Gets the maximum number of requests in flight at an endpoint.
   * @param endpointId - Id of the endpoint.
   */
  getLimit(endpointId: string): number;
  /** Fraction of the owned slots that requests of other regions and bulk requests must not use. */
  readonly headroom: number;
  /** Longest wait in milliseconds. */
  readonly maxQueueMs: number;
  /** Duration of slow start in milliseconds. */
  readonly slowStartMs: number;
  /** Median service time in milliseconds; 0 if unknown. */
  readonly medianMs: number;
}

/** Identifies the kind of an event of a service's requests or endpoints. */
export enum AdmissionEventKind {
  Arrived = 'arrived',
  Released = 'released',
  Cancelled = 'cancelled',
  HealthChanged = 'health-changed',
  /** Time passed, or a limit changed. */
  Ticked = 'ticked',
}

/** Describes an event of a service's requests or endpoints. */
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

/** Describes the decision on one request: it is admitted to an endpoint or refused. */
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
