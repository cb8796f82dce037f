import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';
import {
  type ControlChanges,
  ControlView,
  type EndpointChange,
  EndpointEffect,
  EndpointState,
  type EvacuationChange,
  type RouteConfiguration,
  toRevision,
} from '../../src/direct/index.js';

const DRAIN_MS = 2_500;
const GRACE_MS = DRAIN_MS * 0.85;
const {Ready, Draining} = EndpointState;

/** Creates a change; without a state, the endpoint is removed. */
function change(
  id: string,
  revision: number,
  state?: EndpointState,
  bornAt = 1,
): EndpointChange {
  if (!state) return {id, revision, isRemoved: true};
  const entry = {
    id,
    service: 'pages',
    address: '127.0.0.1:1',
    zone: 'a',
    slots: 4,
    state,
    coldLeftMs: 0,
    bornAt,
  };
  return {id, revision, isRemoved: false, entry};
}

function evacuation(
  zone: string,
  revision: number,
  isActive = true,
): EvacuationChange {
  return {zone, revision, isActive};
}

function createView(): ControlView {
  const view = new ControlView(DRAIN_MS);
  view.apply(
    {
      configuration: createConfiguration(7),
      revision: 0,
      isFull: true,
      isFromRegistry: true,
      endpoints: [],
      evacuations: [],
    },
    0,
  );
  return view;
}

function createConfiguration(version: number): RouteConfiguration {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  return {version, routes: [], services: new Map(), limits};
}

describe('ControlView of a registry that returns from an older copy', () => {
  let view: ControlView;

  beforeEach(() => {
    view = createView();
  });

  const read = (changes: Partial<ControlChanges>, now = 0, target = view) =>
    target.apply(
      {
        revision: 0,
        isFull: false,
        isFromRegistry: true,
        endpoints: [],
        evacuations: [],
        ...changes,
      },
      now,
    );
  /** Applies a listing of the second era. */
  const list = (changes: Partial<ControlChanges>, now = 0, target = view) =>
    read({revision: toRevision(1, 50), isFull: true, ...changes}, now, target);
  const pull = (from: ControlView, to: ControlView, now: number) => {
    const isBehind = from.revision > to.revision;
    const changes = isBehind
      ? from.getChangesAfter(to.revision, now)
      : from.getCorrections();
    if (changes) to.apply(JSON.parse(JSON.stringify(changes)), now);
  };
  const getUsed = (target = view) =>
    target.endpointTable.getByService('pages').map(({entry}) => entry.id);

  it.each([
    ['drained', [change('e', 9, Draining)]],
    ['drained and was removed', [change('e', 8, Draining), change('e', 9)]],
    ['was removed', [change('e', 9)]],
    ['was replaced and drained', [change('e', 9, Draining, 2)]],
  ])('guards against the use of an endpoint that %s', (_, departure) => {
    read({endpoints: [change('e', 5, Ready)], revision: 5});
    read({endpoints: departure, revision: 9});
    list({endpoints: [change('e', toRevision(1, 5), Ready)]});
    expect(getUsed()).toEqual([]);
    // The same process writes again, also under revisions that the first era had used.
    for (const position of [51, 52]) {
      const bornAt = departure.at(-1)?.entry?.bornAt ?? 1;
      const revision = toRevision(1, position);
      read({endpoints: [change('e', revision, Ready, bornAt)], revision});
      expect(getUsed()).toEqual([]);
    }
    const revision = toRevision(1, 53);
    read({endpoints: [change('e', revision, Ready, 3)], revision});
    expect(getUsed()).toEqual(['e']);
  });

  it('guards against a new process that stays unused because the time of day stepped back', () => {
    read({endpoints: [change('e', 5, Ready, 9)], revision: 5});
    read({endpoints: [change('e', 6, Draining, 9)], revision: 6});
    list({endpoints: [change('e', toRevision(1, 5), Ready, 9)]});
    const revision = toRevision(1, 51);
    read({endpoints: [change('e', revision, Ready, 4)], revision});
    expect(getUsed()).toEqual(['e']);
  });

  it('keeps an endpoint whose registration was lost for the grace period', () => {
    read({endpoints: [change('e', 60, Ready)], revision: 60});
    const {endpoints} = list({}, 1_000);
    expect(endpoints).toMatchObject([{effect: EndpointEffect.Lapsed}]);
    view.expire(1_000 + GRACE_MS - 1);
    expect(getUsed()).toEqual(['e']);
    view.expire(1_000 + GRACE_MS);
    expect(getUsed()).toEqual([]);
    const revision = toRevision(1, 51);
    read({endpoints: [change('e', revision, Ready)], revision}, 9_000);
    expect(getUsed()).toEqual(['e']);
  });

  it('keeps an endpoint that registers again in the grace period', () => {
    read({endpoints: [change('e', 60, Ready)], revision: 60});
    list({}, 1_000);
    const revision = toRevision(1, 51);
    read({endpoints: [change('e', revision, Ready)], revision}, 1_500);
    view.expire(9_000);
    expect(getUsed()).toEqual(['e']);
  });

  // The leases of the copy end soon after its return, before live endpoints have written again.
  it('guards against the loss of live endpoints whose leases were lost', () => {
    read({endpoints: [change('e', 5, Ready)], revision: 5});
    list({endpoints: [change('e', toRevision(1, 5), Ready)]}, 1_000);
    const revision = toRevision(1, 51);
    read({endpoints: [change('e', revision)], revision}, 1_500);
    expect(getUsed()).toEqual(['e']);
    view.expire(1_500 + GRACE_MS);
    expect(getUsed()).toEqual([]);
  });

  it('keeps the process that replaced the one in the copy for the grace period', () => {
    read({endpoints: [change('e', 5, Ready, 1)], revision: 5});
    read({endpoints: [change('e', 60, Ready, 2)], revision: 60});
    list({endpoints: [change('e', toRevision(1, 5), Ready, 1)]}, 1_000);
    expect(view.endpointTable.get('e')?.entry.bornAt).toBe(2);
    view.expire(1_000 + GRACE_MS);
    expect(getUsed()).toEqual([]);
    const revision = toRevision(1, 51);
    read({endpoints: [change('e', revision, Ready, 2)], revision}, 9_000);
    expect(view.endpointTable.get('e')?.entry.bornAt).toBe(2);
  });

  it('takes other content under a revision that is assigned again', () => {
    read({endpoints: [change('e', 60, Ready)], revision: 60});
    list({endpoints: [change('e', toRevision(1, 5), Ready)]});
    const revision = toRevision(1, 60);
    read({endpoints: [change('e', revision, Draining)], revision});
    expect(getUsed()).toEqual([]);
  });

  it('keeps a lost evacuation for the grace period, or until it is lifted', () => {
    const evacuations = [evacuation('a', 60), evacuation('b', 60)];
    read({evacuations, revision: 60});
    list({}, 1_000);
    expect([view.isEvacuated('a'), view.isEvacuated('b')]).toEqual([
      true,
      true,
    ]);
    const revision = toRevision(1, 51);
    read({evacuations: [evacuation('b', revision, false)], revision}, 1_100);
    view.expire(1_000 + GRACE_MS - 1);
    expect([view.isEvacuated('a'), view.isEvacuated('b')]).toEqual([
      true,
      false,
    ]);
    const {evacuations: ended} = view.expire(1_000 + GRACE_MS);
    expect(ended).toMatchObject([{zone: 'a', isActive: false}]);
    expect(view.isEvacuated('a')).toBe(false);
  });

  it('keeps a lost evacuation that is written again', () => {
    read({evacuations: [evacuation('a', 60)], revision: 60});
    list({}, 1_000);
    const revision = toRevision(1, 51);
    read({evacuations: [evacuation('a', revision)], revision}, 1_500);
    view.expire(9_000);
    expect(view.isEvacuated('a')).toBe(true);
  });

  it('keeps an evacuation lifted that shows again, until it is started anew', () => {
    read({evacuations: [evacuation('a', 40)], revision: 40});
    read({evacuations: [evacuation('a', 60, false)], revision: 60});
    list({evacuations: [evacuation('a', toRevision(1, 40))]});
    expect(view.isEvacuated('a')).toBe(false);
    const revision = toRevision(1, 51);
    read({evacuations: [evacuation('a', revision)], revision});
    expect(view.isEvacuated('a')).toBe(true);
  });

  // The operator may have written before this instance lists, or it hears from others of the write.
  it.each(['listing', 'other instance'])(
    'guards against a new evacuation that is taken for a copy (%s)',
    source => {
      read({evacuations: [evacuation('a', 40)], revision: 40});
      read({evacuations: [evacuation('a', 60, false)], revision: 60});
      const evacuations = [evacuation('a', toRevision(1, 45))];
      if (source === 'listing') list({evacuations});
      else {
        const other = createView();
        list({}, 0, other);
        read({evacuations, revision: toRevision(1, 51)}, 0, other);
        pull(other, view, 0);
      }
      expect(view.isEvacuated('a')).toBe(true);
    },
  );

  it('keeps the configuration that is newer than the one in the copy', () => {
    const {configuration} = list({configuration: createConfiguration(6)});
    expect(configuration).toBeUndefined();
    expect(view.configuration?.version).toBe(7);
    read({
      configuration: createConfiguration(8),
      revision: toRevision(1, 51),
    });
    expect(view.configuration?.version).toBe(8);
  });

  it('takes over a new era from another instance as from the registry', () => {
    const other = createView();
    for (const target of [view, other]) {
      read({endpoints: [change('e', 5, Ready)], revision: 5}, 0, target);
    }
    // Only this instance has heard of these before it was cut off from the registry.
    read({endpoints: [change('e', 6, Draining)], revision: 6});
    read({endpoints: [change('x', 60, Ready)], revision: 60});
    read({evacuations: [evacuation('a', 61)], revision: 61});
    list({endpoints: [change('e', toRevision(1, 5), Ready)]}, 1_000, other);
    expect(view.isBehind(other.changedRevision, other.revision)).toBe(true);
    expect(view.advanceRevision(0, other.revision)).toBe(false);
    pull(other, view, 1_000);
    expect(view.revision).toBe(other.revision);
    expect(getUsed()).toEqual(['x']);
    expect(view.isEvacuated('a')).toBe(true);
    view.expire(1_000 + GRACE_MS);
    expect(getUsed()).toEqual([]);
    expect(view.isEvacuated('a')).toBe(false);
  });

  it('guards against changes of a later era as a whole view of it', () => {
    read({endpoints: [change('x', 60, Ready)], revision: 60});
    const revision = toRevision(1, 51);
    read({endpoints: [change('e', revision, Ready)], revision});
    expect(view.revision).toBe(60);
  });

  it('tells an instance that started in the new era what has left before', () => {
    read({endpoints: [change('e', 5, Ready)], revision: 5});
    read({endpoints: [change('e', 9, Draining)], revision: 9});
    read({evacuations: [evacuation('a', 10)], revision: 10});
    read({evacuations: [evacuation('a', 11, false)], revision: 11});
    const copy = {
      endpoints: [change('e', toRevision(1, 5), Ready)],
      evacuations: [evacuation('a', toRevision(1, 10))],
    };
    const started = createView();
    for (const target of [view, started]) list(copy, 0, target);
    expect(getUsed(started)).toEqual(['e']);
    pull(view, started, 0);
    expect(getUsed(started)).toEqual([]);
    expect(started.isEvacuated('a')).toBe(false);
    expect(started.changedRevision).toBe(view.changedRevision);
  });

  it('never uses a process that has left or has been replaced', () => {
    const steps = fc.array(
      fc.record({
        id: fc.constantFrom('e1', 'e2'),
        state: fc.constantFrom(Ready, Draining, undefined),
        isNewProcess: fc.boolean(),
      }),
      {minLength: 1, maxLength: 20},
    );
    fc.assert(
      fc.property(steps, fc.integer({min: 0, max: 20}), (history, cut) => {
        const target = createView();
        const last = new Map<string, {bornAt: number; hasLeft: boolean}>();
        const copy = new Map<string, EndpointChange>();
        for (const [i, {id, state, isNewProcess}] of history.entries()) {
          const known = last.get(id)?.bornAt ?? 1;
          // Only an entry states a process; a removal concerns the last one.
          const bornAt = state && isNewProcess ? known + 1 : known;
          last.set(id, {bornAt, hasLeft: state !== Ready});
          const revision = i + 1;
          const endpoints = [change(id, revision, state, bornAt)];
          read({endpoints, revision}, 0, target);
          if (i >= cut) continue;
          const copied = change(id, toRevision(1, revision), state, bornAt);
          if (state) copy.set(id, copied);
          else copy.delete(id);
        }
        const endpoints = [...copy.values()];
        const revision = toRevision(1, cut);
        read({endpoints, isFull: true, revision}, 1, target);
        for (const {entry} of target.endpointTable.getByService('pages')) {
          const {bornAt, hasLeft} = last.get(entry.id) ?? {};
          expect([entry.bornAt, hasLeft]).toEqual([bornAt, false]);
        }
      }),
      {numRuns: 1_000, seed: 20261206},
    );
  });
});
