import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  type ControlChanges,
  ControlView,
  type EndpointChange,
  EndpointState,
} from '@primrosestage/steering';
import {splitChanges} from '../../src/direct/control/split_changes.js';

const SINCE = 10;

function createEndpoint(index: number, revision: number): EndpointChange {
  const id = `endpoint-${index}`;
  return {
    id,
    revision,
    isRemoved: false,
    entry: {
      id,
      service: 'pages',
      address: '127.0.0.1:8080',
      zone: 'north-a',
      slots: 4,
      state: EndpointState.Ready,
      coldLeftMs: 0,
      bornAt: 1,
    },
  };
}

function createView(): ControlView {
  const view = new ControlView(2_500);
  view.apply(createChanges(SINCE, [], true), 0);
  return view;
}

function createChanges(
  revision: number,
  endpoints: EndpointChange[],
  isFull = false,
): ControlChanges {
  return {
    revision,
    isFull,
    endpoints,
    evacuations: [],
    configuration: {
      version: 1,
      routes: [],
      services: new Map(),
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    },
  };
}

describe('splitChanges', () => {
  it('never makes the view of a receiver that missed a part complete', () => {
    const revisions = fc.array(fc.integer({min: SINCE + 1, max: 30}), {
      maxLength: 20,
    });
    fc.assert(
      fc.property(revisions, fc.nat(), (endpointRevisions, lost) => {
        const endpoints = endpointRevisions.map((at, i) =>
          createEndpoint(i, at),
        );
        const parts = splitChanges({
          since: SINCE,
          ...createChanges(31, endpoints),
        });
        const view = createView();
        const lostIndex = lost % (parts.length + 1);
        parts.forEach((part, i) => {
          const isLost = i === lostIndex || !part || view.revision < part.since;
          if (!isLost) view.apply(part, 0);
        });
        const isComplete = view.endpointTable.size === endpoints.length;
        const highestRevision = Math.max(SINCE, ...endpointRevisions);
        expect(isComplete || view.revision < highestRevision).toBe(true);
        if (lostIndex === parts.length) expect(view.revision).toBe(31);
      }),
      {numRuns: 500, seed: 20261204},
    );
  });

  it('returns one part without changes for a large set, which an exchange carries', () => {
    const endpoints = Array.from({length: 200}, (_, i) =>
      createEndpoint(i, SINCE + 1 + i),
    );
    const changes = {since: SINCE, ...createChanges(300, endpoints)};
    expect(splitChanges(changes)).toEqual([undefined]);
    expect(splitChanges({...changes, isFull: true})).toEqual([undefined]);
  });
});
