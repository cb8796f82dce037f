import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  EndpointEffect,
  type ControlChanges,
  ControlView,
  type EndpointChange,
  EndpointState,
  RequestKind,
  type RouteConfiguration,
} from '../../src/direct/index.js';

const RUNS = {numRuns: 1_000, seed: 20261204};
const DRAIN_MS = 2_500;

function createChange(
  id: string,
  revision: number,
  state?: EndpointState,
): EndpointChange {
  if (!state) return {id, revision, isRemoved: true};
  return {
    id,
    revision,
    isRemoved: false,
    entry: {
      id,
      service: 'pages',
      address: '127.0.0.1:1',
      zone: 'a',
      slots: 4,
      state,
      coldLeftMs: 0,
      bornAt: 1,
    },
  };
}

function createChanges(changes: Partial<ControlChanges>): ControlChanges {
  return {
    revision: 0,
    isFull: false,
    endpoints: [],
    evacuations: [],
    ...changes,
  };
}

function createConfiguration(version: number): RouteConfiguration {
  return {
    version,
    routes: [
      {
        name: `r${version}`,
        host: 'shop.example',
        prefix: '/',
        kind: RequestKind.Safe,
        targets: [{service: 'pages', weight: 1}],
        timeoutMs: 0,
        objectiveMs: 0,
        priority: 0,
        attempts: 1,
        isSticky: false,
        homeRegions: [],
      },
    ],
    services: new Map(),
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

/** Changes in the order of the store, with consecutive revisions. */
const HISTORY = fc
  .array(
    fc.record({
      id: fc.constantFrom('e1', 'e2', 'e3'),
      state: fc.constantFrom(
        EndpointState.Ready,
        EndpointState.Draining,
        undefined,
      ),
    }),
    {minLength: 1, maxLength: 20},
  )
  .map(steps => steps.map(({id, state}, i) => createChange(id, i + 1, state)));

function getUsable(view: ControlView): string[] {
  return view.endpointTable.getByService('pages').map(({entry}) => entry.id);
}

describe('ControlView', () => {
  it('reaches the same state regardless of the order and number of deliveries', () => {
    fc.assert(
      fc.property(
        HISTORY.chain(history =>
          fc.tuple(
            fc.constant(history),
            fc.shuffledSubarray([...history, ...history], {
              minLength: history.length * 2,
              maxLength: history.length * 2,
            }),
          ),
        ),
        ([history, deliveries]) => {
          const inOrder = new ControlView(DRAIN_MS);
          inOrder.apply(createChanges({endpoints: history}), 0);
          const reordered = new ControlView(DRAIN_MS);
          for (const change of deliveries) {
            reordered.apply(createChanges({endpoints: [change]}), 0);
          }
          expect(getUsable(reordered)).toEqual(getUsable(inOrder));
        },
      ),
      RUNS,
    );
  });

  it('never uses an endpoint again after it has left at a later revision', () => {
    fc.assert(
      fc.property(HISTORY, fc.integer({min: 0, max: 19}), (history, cut) => {
        const view = new ControlView(DRAIN_MS);
        view.apply(createChanges({endpoints: history}), 0);
        view.apply(createChanges({endpoints: history.slice(0, cut)}), 1);
        for (const id of getUsable(view)) {
          const last = history.filter(change => change.id === id).at(-1);
          expect(last?.entry?.state).toBe(EndpointState.Ready);
        }
      }),
      RUNS,
    );
  });

  it('returns all changes that another view lacks', () => {
    fc.assert(
      fc.property(HISTORY, fc.integer({min: 0, max: 20}), (history, known) => {
        const first = new ControlView(DRAIN_MS);
        const second = new ControlView(DRAIN_MS);
        const old = history.slice(0, known);
        for (const view of [first, second]) {
          view.apply(
            createChanges({endpoints: old, revision: old.length, isFull: true}),
            0,
          );
        }
        first.apply(
          createChanges({endpoints: history, revision: history.length}),
          0,
        );
        second.apply(first.getChangesAfter(second.revision, 0), 0);
        expect(getUsable(second)).toEqual(getUsable(first));
        expect(second.revision).toBe(first.revision);
      }),
      RUNS,
    );
  });

  it('never replaces a configuration with an older one', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 50}), {minLength: 1}),
        versions => {
          const view = new ControlView(DRAIN_MS);
          let highest = 0;
          for (const version of versions) {
            view.apply(
              createChanges({configuration: createConfiguration(version)}),
              0,
            );
            highest = Math.max(highest, version);
            expect(view.configuration?.version).toBe(highest);
            expect(view.routes.find('shop.example:80', '/x?y')?.name).toBe(
              `r${highest}`,
            );
          }
        },
      ),
      RUNS,
    );
  });

  it('removes items that a full snapshot does not list, unless they are newer', () => {
    const view = new ControlView(DRAIN_MS);
    view.apply(
      createChanges({
        endpoints: [
          createChange('e1', 1, EndpointState.Ready),
          createChange('e2', 9, EndpointState.Ready),
        ],
        evacuations: [{zone: 'a', isActive: true, revision: 2}],
        revision: 9,
      }),
      0,
    );
    view.apply(createChanges({revision: 5, isFull: true}), 0);
    expect(getUsable(view)).toEqual(['e2']);
    expect(view.isEvacuated('a')).toBe(false);
  });

  it('keeps a lapsed entry for less than the drain time', () => {
    for (const drainMs of [2_000, 2_500, 60_000]) {
      const view = new ControlView(drainMs);
      const joinChange = createChange('e1', 1, EndpointState.Ready);
      view.apply(createChanges({endpoints: [joinChange]}), 0);
      view.endpointTable.markRegistryUnavailable();
      view.endpointTable.markRegistryAvailable(1_000);
      const effects = view.apply(
        createChanges({
          endpoints: [createChange('e1', 2)],
          isFromRegistry: true,
        }),
        1_001,
      );
      expect(effects.endpoints[0]?.effect).toBe(EndpointEffect.Lapsed);
      view.endpointTable.expire(1_001 + Math.min(2_300, drainMs * 0.85));
      expect(getUsable(view)).toEqual([]);
    }
  });

  // Only the instance that reads a removal from the registry knows whether it may be a lapse.
  it('guards against keeping an endpoint that another instance has seen leave', () => {
    const view = new ControlView(DRAIN_MS);
    const joinChange = createChange('e1', 1, EndpointState.Ready);
    view.apply(createChanges({endpoints: [joinChange]}), 0);
    view.endpointTable.markRegistryUnavailable();
    const effects = view.apply(
      createChanges({endpoints: [createChange('e1', 2)]}),
      20_000,
    );
    expect(effects.endpoints[0]?.effect).toBe(EndpointEffect.Left);
  });

  it('keeps the longer cold start of a process and takes the new one after a restart', () => {
    const view = new ControlView(DRAIN_MS);
    const createColdChange = (
      revision: number,
      coldLeftMs: number,
      bornAt: number,
    ) => {
      const change = createChange('e1', revision, EndpointState.Ready);
      if (change.entry) Object.assign(change.entry, {coldLeftMs, bornAt});
      return createChanges({endpoints: [change]});
    };
    view.apply(createColdChange(1, 3_000, 1), 0);
    view.apply(createColdChange(2, 1_000, 1), 500);
    expect(view.endpointTable.get('e1')?.coldUntil).toBe(3_000);
    view.apply(createColdChange(3, 3_000, 2), 10_000);
    expect(view.endpointTable.get('e1')?.coldUntil).toBe(13_000);
  });
});
