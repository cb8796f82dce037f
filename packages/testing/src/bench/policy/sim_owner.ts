import {Outcome} from '@primrosestage/common';
import {
  AdmissionEventKind,
  type AdmissionEvent,
  type AdmissionRules,
  type AdmissionState,
  createAdmissionState,
  getNextDecisionAt,
  getServiceFreeSlots,
  type InstanceInfo,
  reduceAdmission,
  RequestOrigin,
  type Service,
} from '@primrosestage/steering';
import type {SimEndpoint} from './sim_endpoint.js';
import {
  getDelayMs,
  getSimEndpoints,
  type SimRequest,
  type SimWorld,
} from './sim_world.js';

/** Time from a request's arrival to its deadline, in milliseconds. */
export const DEADLINE_MS = 10_000;

/** Duration of slow start in milliseconds, as in the settings. */
const SLOW_START_MS = 10_000;

/** Reports the outcome of a request at an owner. */
export type OwnerAnswer = (outcome: Outcome, freeSlots: number) => void;

interface PendingRequest {
  request: SimRequest;
  answer: OwnerAnswer;
}

/** Configures an owner of one service's endpoints. */
export interface SimOwnerOptions {
  world: SimWorld;
  self: InstanceInfo;
  service: Service;
  interZoneMs: number;
  /** Says whether this owner owns an endpoint. */
  isOwned(endpointId: string): boolean;
}

/** Runs primrosestage's admission control in front of the simulated endpoints. */
export class SimOwner {
  private state: AdmissionState;
  private readonly endpoints: ReadonlyMap<string, SimEndpoint>;
  private readonly rules: AdmissionRules;
  private readonly pendingRequests = new Map<string, PendingRequest>();
  private nextId = 0;

  constructor(private readonly options: SimOwnerOptions) {
    const {world, service, isOwned} = options;
    const owned = getSimEndpoints(world, service).filter(({info}) =>
      isOwned(info.id),
    );
    this.endpoints = new Map(owned.map(e => [e.info.id, e]));
    this.state = createAdmissionState([...this.endpoints.keys()], 0);
    this.rules = {
      getLimit: id => this.endpoints.get(id)?.info.slots ?? 0,
      headroom: world.preset.headroom,
      maxQueueMs: world.preset.maxQueueMs,
      slowStartMs: SLOW_START_MS,
      medianMs: 0,
    };
  }

  /** The number of free slots that it reports. */
  get freeSlots(): number {
    const {clock} = this.options.world;
    const free = getServiceFreeSlots(this.state, clock.now(), this.rules);
    return free - this.state.waiting.length;
  }

  /** Admits, queues or refuses a request. */
  execute(request: SimRequest, answer: OwnerAnswer): void {
    const {world, self, service} = this.options;
    const nowMs = world.clock.now();
    const id = String(this.nextId++);
    this.pendingRequests.set(id, {request, answer});
    const {ingress} = request;
    this.apply({
      kind: AdmissionEventKind.Arrived,
      request: {
        id,
        arrivedAt: nowMs,
        deadlineAt: nowMs + DEADLINE_MS,
        priority: service.priority,
        origin:
          ingress.zone === self.zone
            ? RequestOrigin.SameZone
            : ingress.region === self.region
              ? RequestOrigin.SameRegion
              : RequestOrigin.OtherRegion,
      },
    });
  }

  /** Begins slow start at all endpoints, as probes do after a restart. */
  beginSlowStart(): void {
    for (const endpoint of this.state.endpoints) {
      this.apply({
        kind: AdmissionEventKind.HealthChanged,
        endpointId: endpoint.id,
        health: {
          ...endpoint.health,
          slowStartSince: this.options.world.clock.now(),
        },
      });
    }
  }

  private apply(event: AdmissionEvent): void {
    const {clock} = this.options.world;
    const result = reduceAdmission(this.state, event, clock.now(), this.rules);
    this.state = result.state;
    for (const {requestId, endpointId} of result.decisions) {
      const pending = this.pendingRequests.get(requestId);
      if (!pending) continue;
      this.pendingRequests.delete(requestId);
      const endpoint =
        endpointId === undefined ? undefined : this.endpoints.get(endpointId);
      if (endpoint) this.runOnEndpoint(endpoint, pending);
      else pending.answer(Outcome.NotRun, this.freeSlots);
    }
    const nextMs = getNextDecisionAt(this.state, this.rules);
    if (nextMs === undefined || event.kind !== AdmissionEventKind.Arrived)
      return;
    clock.at(nextMs, () => this.apply({kind: AdmissionEventKind.Ticked}));
  }

  private runOnEndpoint(
    endpoint: SimEndpoint,
    {request, answer}: PendingRequest,
  ): void {
    const {world, self, interZoneMs} = this.options;
    const {clock, topology} = world;
    const delayMs = getDelayMs(topology, interZoneMs, self, endpoint.info);
    clock.at(clock.now() + delayMs, () =>
      endpoint.run(request.serviceMs, () =>
        clock.at(clock.now() + delayMs, () => {
          const isLost = world.isDown(endpoint.info.zone);
          this.apply({
            kind: AdmissionEventKind.Released,
            endpointId: endpoint.info.id,
          });
          answer(isLost ? Outcome.Unknown : Outcome.Answered, this.freeSlots);
        }),
      ),
    );
  }
}
