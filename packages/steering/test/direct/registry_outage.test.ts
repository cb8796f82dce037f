import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  type ControlChanges,
  ControlView,
  type EndpointChange,
  EndpointEffect,
  EndpointState,
} from '../../src/direct/index.js';

const RUNS = {numRuns: 1_000, seed: 20261207};
/** Longest time from a removal until a follower reads it: two watches and the response. */
const MAX_READ_MS = 350;
/** Longest one-way latency between two instances. */
const MAX_TRANSIT_MS = 60;
/** Longest time that a request takes to its endpoint, with a busy event loop. */
const MAX_REQUEST_MS = 130;
/** Time within which a live endpoint has registered again after an outage. */
const REREGISTRATION_MS = 2_300;
const DRAIN_TIMES_MS = [2_000, 2_500, 3_000, 4_000];

const joined: EndpointChange = {
  id: 'e',
  revision: 5,
  isRemoved: false,
  entry: {
    id: 'e',
    service: 'pages',
    address: '127.0.0.1:1',
    zone: 'a',
    slots: 4,
    state: EndpointState.Ready,
    coldLeftMs: 0,
    bornAt: 1,
  },
};
const removed: EndpointChange = {id: 'e', revision: 9, isRemoved: true};

function createChanges(changes: Partial<ControlChanges>): ControlChanges {
  return {
    revision: 5,
    isFull: false,
    endpoints: [],
    evacuations: [],
    ...changes,
  };
}

function createView(drainMs: number): ControlView {
  const view = new ControlView(drainMs);
  view.apply(createChanges({endpoints: [joined]}), 0);
  return view;
}

/** Applies the removal as this instance reads it from the registry. */
function read(view: ControlView, now: number) {
  const changes = createChanges({
    revision: 9,
    isFromRegistry: true,
    endpoints: [removed],
  });
  return view.apply(changes, now).endpoints[0]?.effect;
}

/** Applies what an instance tells another one at a time. */
function pass(from: ControlView, to: ControlView, sentAt: number, at: number) {
  const changes = from.getChangesAfter(5, sentAt);
  to.apply(JSON.parse(JSON.stringify(changes)) as ControlChanges, at);
}

function isUsed(view: ControlView, now: number): boolean {
  view.expire(now);
  return view.endpointTable.get('e') !== undefined;
}

describe('an endpoint that is removed after an outage of the registry', () => {
  it('guards against requests behind the drain time at any instance, with all delays at their largest', () => {
    fc.assert(
      fc.property(
        fc.constantFrom(...DRAIN_TIMES_MS),
        fc.integer({min: 0, max: 6_000}),
        fc.integer({min: 0, max: MAX_READ_MS}),
        fc.array(
          fc.record({
            waitMs: fc.integer({min: 0, max: 3_000}),
            transitMs: fc.integer({min: 0, max: MAX_TRANSIT_MS}),
          }),
          {maxLength: 2},
        ),
        (drainMs, sinceOutageMs, readMs, hops) => {
          const outageEndedAt = 10_000;
          const removedAt = outageEndedAt + sinceOutageMs;
          const follower = createView(drainMs);
          follower.endpointTable.markRegistryUnavailable();
          follower.endpointTable.markRegistryAvailable(outageEndedAt);
          let now = removedAt + readMs;
          read(follower, now);
          const views = [follower];
          for (const {waitMs, transitMs} of hops) {
            const view = createView(drainMs);
            const sentAt = now + waitMs;
            now = sentAt + transitMs;
            pass(views.at(-1)!, view, sentAt, now);
            views.push(view);
          }
          const lastSentAt = removedAt + drainMs - MAX_REQUEST_MS;
          for (const view of views) {
            expect(isUsed(view, Math.max(now, lastSentAt))).toBe(false);
          }
        },
      ),
      RUNS,
    );
  });

  it('guards against a grace period that begins anew with each removal behind an outage', () => {
    for (const drainMs of DRAIN_TIMES_MS) {
      const view = createView(drainMs);
      view.endpointTable.markRegistryUnavailable();
      view.endpointTable.markRegistryAvailable(1_000);
      expect(read(view, 2_900)).toBe(EndpointEffect.Lapsed);
      expect(isUsed(view, 1_000 + REREGISTRATION_MS - 1)).toBe(true);
      expect(isUsed(view, 1_000 + REREGISTRATION_MS)).toBe(false);
    }
  });

  it('guards against a grace period that begins anew at an instance that hears of it late', () => {
    const follower = createView(4_000);
    follower.endpointTable.markRegistryUnavailable();
    follower.endpointTable.markRegistryAvailable(1_000);
    read(follower, 1_100);
    const peer = createView(4_000);
    pass(follower, peer, 3_000, 3_050);
    expect(isUsed(peer, 3_300)).toBe(true);
    expect(isUsed(peer, 3_350)).toBe(false);
    const late = createView(4_000);
    pass(follower, late, 5_000, 5_050);
    expect(isUsed(late, 5_050)).toBe(false);
  });

  it('guards against keeping one for another instance’s outage if the removal was read without one', () => {
    const cut = createView(2_500);
    cut.endpointTable.markRegistryUnavailable();
    cut.endpointTable.markRegistryAvailable(1_000);
    read(cut, 1_100);
    const follower = createView(2_500);
    pass(cut, follower, 1_100, 1_110);
    expect(isUsed(follower, 1_150)).toBe(true);
    expect(read(follower, 1_200)).toBe(EndpointEffect.Left);
    expect(isUsed(follower, 1_200)).toBe(false);
  });

  it('keeps one that registers again soon after the outage', () => {
    const view = createView(2_500);
    view.endpointTable.markRegistryUnavailable();
    view.endpointTable.markRegistryAvailable(1_000);
    expect(read(view, 1_050)).toBe(EndpointEffect.Lapsed);
    const again = {...joined, revision: 12};
    const changes = {endpoints: [again], isFromRegistry: true, revision: 12};
    view.apply(createChanges(changes), 2_800);
    expect(isUsed(view, 60_000)).toBe(true);
  });
});
