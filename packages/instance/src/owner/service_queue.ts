import type {TimerService} from '@primrosestage/common';
import {
  type AdmissionDecision,
  type AdmissionEvent,
  AdmissionEventKind,
  type AdmissionRequest,
  type AdmissionRules,
  type AdmissionState,
  createAdmissionState,
  type EndpointHealth,
  getNextDecisionAt,
  getServiceFreeSlots,
  type HealthEvent,
  reduceAdmission,
  reduceHealth,
  INITIAL_HEALTH,
} from '@primrosestage/steering';

/** Configures the queue of one service. */
export interface ServiceQueueOptions {
  endpointIds: readonly string[];
  timers: TimerService;
  /** Gets the rules in force at the time of the call. */
  getRules(): AdmissionRules;
}

/** Holds the admission state of one service and the requests that wait for a decision. */
export class ServiceQueue implements AsyncDisposable {
  private state: AdmissionState;
  private readonly waiters = new Map<
    string,
    (decision: AdmissionDecision) => void
  >();
  private timer?: AsyncDisposable;

  constructor(private readonly options: ServiceQueueOptions) {
    this.state = createAdmissionState(
      options.endpointIds,
      options.timers.now(),
    );
  }

  /**
   * Free slots of the service at this owner minus the waiting requests; negative if more requests
   * wait than slots are free.
   */
  get freeSlots(): number {
    const {timers, getRules} = this.options;
    const free = getServiceFreeSlots(this.state, timers.now(), getRules());
    return free - this.state.waiting.length;
  }

  /** Number of requests that wait for a slot. */
  get waitingCount(): number {
    return this.state.waiting.length;
  }

  /**
   * Gets the number of requests in flight at an endpoint.
   * @param endpointId - Id of the endpoint.
   */
  getInFlight(endpointId: string): number {
    return this.getEndpoint(endpointId)?.inFlight ?? 0;
  }

  /**
   * Gets the health of an endpoint.
   * @param endpointId - Id of the endpoint.
   */
  getHealth(endpointId: string): EndpointHealth {
    return this.getEndpoint(endpointId)?.health ?? INITIAL_HEALTH;
  }

  /**
   * Waits for a slot.
   * @param request - The request; its id must be unique among the waiting ones.
   * @param signal - Cancels the request and removes it from the queue.
   * @returns The decision, or undefined if the request was cancelled.
   */
  admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<AdmissionDecision | undefined> {
    return new Promise(resolve => {
      const cancel = () => {
        this.waiters.delete(request.id);
        this.applyEvent({
          kind: AdmissionEventKind.Cancelled,
          requestId: request.id,
        });
        resolve(undefined);
      };
      if (signal.aborted) {
        resolve(undefined);
        return;
      }
      signal.addEventListener('abort', cancel, {once: true});
      this.waiters.set(request.id, decision => {
        signal.removeEventListener('abort', cancel);
        resolve(decision);
      });
      this.applyEvent({kind: AdmissionEventKind.Arrived, request});
    });
  }

  /**
   * Releases the slot of an admitted request.
   * @param endpointId - Id of the endpoint that ran it.
   */
  release(endpointId: string): void {
    this.applyEvent({kind: AdmissionEventKind.Released, endpointId});
  }

  /** Re-evaluates the waiting requests after limits have changed. */
  refresh(): void {
    this.applyEvent({kind: AdmissionEventKind.Ticked});
  }

  /**
   * Applies a health event to an endpoint.
   * @param endpointId - Id of the endpoint.
   * @param event - The health event.
   */
  observeHealth(endpointId: string, event: HealthEvent): EndpointHealth {
    const health = this.getHealth(endpointId);
    const next = reduceHealth(health, event, this.options.timers.now());
    if (next !== health) {
      this.applyEvent({
        kind: AdmissionEventKind.HealthChanged,
        endpointId,
        health: next,
      });
    }
    return next;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.timer?.[Symbol.asyncDispose]();
  }

  private getEndpoint(endpointId: string) {
    return this.state.endpoints.find(({id}) => id === endpointId);
  }

  private applyEvent(event: AdmissionEvent): void {
    const {timers, getRules} = this.options;
    const now = timers.now();
    const rules = getRules();
    const {state, decisions} = reduceAdmission(this.state, event, now, rules);
    this.state = state;
    this.scheduleNextDecision(now, rules);
    for (const decision of decisions) {
      const waiter = this.waiters.get(decision.requestId);
      this.waiters.delete(decision.requestId);
      waiter?.(decision);
    }
  }

  private scheduleNextDecision(now: number, rules: AdmissionRules): void {
    void this.timer?.[Symbol.asyncDispose]();
    this.timer = undefined;
    const decisionAt = getNextDecisionAt(this.state, rules);
    if (decisionAt === undefined) return;
    // Platform timers may fire up to 1 ms early.
    this.timer = this.options.timers.after(
      Math.max(1, Math.ceil(decisionAt - now)),
      () => this.refresh(),
    );
  }
}
