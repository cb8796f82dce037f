import {Priority} from '@primrosestage/common';
import {
  type AdmissionDecision,
  type AdmissionEvent,
  AdmissionEventKind,
  type AdmissionRequest,
  type AdmissionRules,
  type AdmissionState,
  createAdmissionState,
  DrainSource,
  getOwnedSlots,
  getServiceFreeSlots,
  type HealthEvent,
  HealthEventKind,
  isSelectable,
  reduceAdmission,
  reduceHealth,
  RefusalReason,
  RequestOrigin,
} from '@primrosestage/steering';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

const RULES: AdmissionRules = {
  getLimit: () => 3,
  headroom: 0.2,
  maxQueueMs: 50,
  slowStartMs: 10_000,
  medianMs: 5,
};

/** Drives the reducer on virtual time and records independently which endpoint runs each request. */
class Owner {
  now = 0;
  state: AdmissionState;
  readonly decisions = new Map<string, AdmissionDecision>();
  readonly running = new Map<string, string>();
  private nextId = 1;

  constructor(
    endpointIds: string[],
    readonly rules: AdmissionRules = RULES,
  ) {
    this.state = createAdmissionState(endpointIds, 0);
  }

  apply(event: AdmissionEvent): readonly AdmissionDecision[] {
    const {state, decisions} = reduceAdmission(
      this.state,
      event,
      this.now,
      this.rules,
    );
    this.state = state;
    for (const decision of decisions) {
      this.decisions.set(decision.requestId, decision);
      if (decision.endpointId !== undefined) {
        this.running.set(decision.requestId, decision.endpointId);
      }
    }
    return decisions;
  }

  arrive(request: Partial<AdmissionRequest> = {}): string {
    const id = request.id ?? String(this.nextId++);
    this.apply({
      kind: AdmissionEventKind.Arrived,
      request: {
        id,
        arrivedAt: this.now,
        deadlineAt: this.now + 1_000,
        priority: Priority.Normal,
        origin: RequestOrigin.SameZone,
        ...request,
      },
    });
    return id;
  }

  release(requestId: string): void {
    const endpointId = this.running.get(requestId);
    if (endpointId === undefined) return;
    this.running.delete(requestId);
    this.apply({kind: AdmissionEventKind.Released, endpointId});
  }

  observe(endpointId: string, event: HealthEvent): void {
    const endpoint = this.state.endpoints.find(({id}) => id === endpointId)!;
    this.apply({
      kind: AdmissionEventKind.HealthChanged,
      endpointId,
      health: reduceHealth(endpoint.health, event, this.now),
    });
  }

  tick(durationMs: number): void {
    this.now += durationMs;
    this.apply({kind: AdmissionEventKind.Ticked});
  }

  isRefused(id: string, reason: RefusalReason): boolean {
    const decision = this.decisions.get(id);
    return decision?.endpointId === undefined && decision?.reason === reason;
  }
}

const STEP = fc.oneof(
  fc.record({
    kind: fc.constant('arrive' as const),
    origin: fc.constantFrom(...Object.values(RequestOrigin)),
    priority: fc.constantFrom(...Object.values(Priority)),
    lifetimeMs: fc.integer({min: 0, max: 200}),
  }),
  fc.record({kind: fc.constant('release' as const), index: fc.nat(20)}),
  fc.record({
    kind: fc.constant('tick' as const),
    ms: fc.integer({min: 0, max: 60}),
  }),
  fc.record({
    kind: fc.constant('health' as const),
    endpoint: fc.nat(2),
    event: fc.constantFrom<HealthEvent>(
      {kind: HealthEventKind.ConnectFailed},
      {kind: HealthEventKind.ProbeHealthy},
      {kind: HealthEventKind.DrainSignal, source: DrainSource.HealthProbe},
      {kind: HealthEventKind.DrainSignalEnded, source: DrainSource.HealthProbe},
    ),
  }),
  fc.record({kind: fc.constant('limit' as const), limit: fc.nat(3)}),
);

describe('reduceAdmission', () => {
  it('guards against more requests in flight than the limit, lost requests and admission to draining or failing endpoints', () => {
    fc.assert(
      fc.property(fc.array(STEP, {maxLength: 150}), steps => {
        let limit = 3;
        const ids = ['a', 'b', 'c'];
        const owner = new Owner(ids, {...RULES, getLimit: () => limit});
        const arrived: string[] = [];
        const admitted: AdmissionDecision[] = [];
        for (const step of steps) {
          const before = new Set(owner.running.keys());
          if (step.kind === 'arrive') {
            arrived.push(
              owner.arrive({
                ...step,
                deadlineAt: owner.now + step.lifetimeMs,
              }),
            );
          } else if (step.kind === 'release') {
            const id = [...owner.running.keys()][step.index];
            if (id !== undefined) owner.release(id);
          } else if (step.kind === 'tick') owner.tick(step.ms);
          else if (step.kind === 'limit') limit = step.limit;
          else owner.observe(ids[step.endpoint]!, step.event);
          for (const [id, endpointId] of owner.running) {
            if (before.has(id)) continue;
            admitted.push(owner.decisions.get(id)!);
            const used = [...owner.running.values()].filter(
              e => e === endpointId,
            ).length;
            expect(used).toBeLessThanOrEqual(limit);
            const endpoint = owner.state.endpoints.find(
              e => e.id === endpointId,
            )!;
            expect(isSelectable(endpoint.health)).toBe(true);
          }
          for (const {id, inFlight} of owner.state.endpoints) {
            const used = [...owner.running.values()].filter(e => e === id);
            expect(inFlight).toBe(used.length);
          }
          const free = getServiceFreeSlots(owner.state, owner.now, owner.rules);
          expect(free).toBeLessThanOrEqual(
            getOwnedSlots(owner.state, owner.rules),
          );
        }
        owner.tick(100);
        for (const id of arrived) expect(owner.decisions.has(id)).toBe(true);
        for (const decision of admitted) {
          if (decision.endpointId === undefined) continue;
          expect(decision.waitedMs).toBeLessThanOrEqual(RULES.maxQueueMs);
        }
      }),
      {seed: 4101, numRuns: 300},
    );
  });

  it('guards against other regions and bulk requests taking the headroom', () => {
    const owner = new Owner(['a', 'b', 'c', 'd', 'e']);
    for (let i = 0; i < 12; i++) owner.arrive();
    const remote = owner.arrive({origin: RequestOrigin.OtherRegion});
    const bulk = owner.arrive({priority: Priority.Bulk});
    expect(owner.running.has(remote) || owner.running.has(bulk)).toBe(false);
    const local = owner.arrive();
    expect(owner.running.has(local)).toBe(true);
  });

  it('guards against a bulk service that never runs because its slots are fewer than the reserve', () => {
    const owner = new Owner(['a'], {...RULES, getLimit: () => 1});
    const id = owner.arrive({priority: Priority.Bulk});
    expect(owner.running.has(id)).toBe(true);
  });

  it('guards against admitting requests whose deadline cannot be met', () => {
    const owner = new Owner(['a'], {...RULES, medianMs: 30});
    const id = owner.arrive({deadlineAt: 29});
    expect(owner.isRefused(id, RefusalReason.DeadlineTooShort)).toBe(true);
  });

  it('guards against an unbounded queue and against urgent requests behind bulk ones', () => {
    const owner = new Owner(['a'], {...RULES, getLimit: () => 1});
    const first = owner.arrive();
    const bulk = [1, 2, 3, 4].map(() =>
      owner.arrive({priority: Priority.Bulk}),
    );
    const urgent = owner.arrive({priority: Priority.Urgent});
    expect(owner.state.waiting).toHaveLength(4);
    expect(owner.isRefused(bulk[3]!, RefusalReason.QueueFull)).toBe(true);
    owner.release(first);
    expect(owner.running.has(urgent)).toBe(true);
  });

  it('guards against serving only requests that are about to expire under sustained queueing', () => {
    const owner = new Owner(['a'], {...RULES, getLimit: () => 1});
    let current = owner.arrive();
    for (let i = 0; i < 30; i++) {
      owner.now += 10;
      owner.arrive();
      if (i % 3 !== 0) continue;
      owner.release(current);
      current = [...owner.running.keys()][0]!;
    }
    expect(owner.state.isLifo).toBe(true);
    owner.now += 10;
    const newest = owner.arrive();
    owner.release(current);
    expect(owner.running.has(newest)).toBe(true);
    owner.tick(60);
    expect(owner.state.isLifo).toBe(false);
  });

  it('guards against full load on an endpoint that has just recovered', () => {
    const owner = new Owner(['a'], {...RULES, getLimit: () => 4});
    owner.observe('a', {kind: HealthEventKind.ConnectFailed});
    const refused = owner.arrive();
    expect(owner.isRefused(refused, RefusalReason.NoEndpoint)).toBe(true);
    owner.now = 1_000;
    owner.observe('a', {kind: HealthEventKind.ProbeHealthy});
    const getFree = () =>
      getServiceFreeSlots(owner.state, owner.now, owner.rules);
    expect(getFree()).toBe(1);
    owner.now += 5_000;
    expect(getFree()).toBe(2);
    owner.now += 5_000;
    expect(getFree()).toBe(4);
  });
});

describe('reduceHealth', () => {
  it('guards against new requests to a draining endpoint after a stale healthy report', () => {
    const owner = new Owner(['a']);
    owner.observe('a', {
      kind: HealthEventKind.DrainSignal,
      source: DrainSource.Response,
    });
    for (let i = 0; i < 50; i++) {
      owner.now += 1_000;
      owner.observe('a', {kind: HealthEventKind.ProbeHealthy});
      owner.observe('a', {
        kind: HealthEventKind.DrainSignalEnded,
        source: DrainSource.HealthProbe,
      });
      expect(isSelectable(owner.state.endpoints[0]!.health)).toBe(false);
    }
  });

  it('guards against a failed probe that overrides a response received after it was sent', () => {
    const owner = new Owner(['a']);
    owner.now = 10;
    owner.observe('a', {kind: HealthEventKind.Answered});
    owner.observe('a', {kind: HealthEventKind.ProbeFailed, sentAt: 5});
    expect(isSelectable(owner.state.endpoints[0]!.health)).toBe(true);
    owner.observe('a', {kind: HealthEventKind.ProbeFailed, sentAt: 11});
    expect(isSelectable(owner.state.endpoints[0]!.health)).toBe(false);
  });
});
