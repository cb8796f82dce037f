import {
  KEY_EPOCH_MS,
  KeyAction,
  type KeyRequest,
  KeyTable,
  parseIdempotencyKey,
} from '@primrosestage/steering';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

const OPTIONS = {
  home: 'h',
  incarnation: 7,
  startedAt: 0,
  maxRecords: 3,
  maxBytes: 1024 * 1024,
};

function createRequest(
  epoch: number,
  unique: string,
  isFirstAttempt = false,
): KeyRequest {
  const key = {home: 'h', incarnation: 7, epoch, unique};
  return {key, scope: 't/s', fingerprint: 'POST /', isFirstAttempt};
}

const OPERATION = fc.oneof(
  fc.record({
    kind: fc.constant('begin' as const),
    epoch: fc.nat(4),
    unique: fc.constantFrom('a', 'b', 'c'),
    isFirstAttempt: fc.boolean(),
  }),
  fc.record({
    kind: fc.constantFrom(
      'answer' as const,
      'unknown' as const,
      'not-run' as const,
    ),
    index: fc.nat(5),
  }),
  fc.record({
    kind: fc.constant('advance-time' as const),
    ms: fc.integer({min: 0, max: KEY_EPOCH_MS}),
  }),
);

describe('KeyTable', () => {
  it('guards against a second run under a key, a false not-run refusal and too many records', () => {
    fc.assert(
      fc.property(fc.array(OPERATION, {maxLength: 80}), steps => {
        const table = new KeyTable(OPTIONS);
        let now = 0;
        const running = new Map<string, KeyRequest>();
        const mayHaveRun = new Set<string>();
        for (const step of steps) {
          if (step.kind === 'advance-time') {
            now += step.ms;
            continue;
          }
          if (step.kind !== 'begin') {
            const [id, request] = [...running][step.index] ?? [];
            if (id === undefined || !request) continue;
            running.delete(id);
            if (step.kind === 'answer') {
              table.recordResponse(request, {status: 200, headers: {}});
            } else if (step.kind === 'unknown') table.recordUnknown(request);
            else table.recordNotRun(request);
            if (step.kind !== 'not-run') mayHaveRun.add(id);
            continue;
          }
          const {epoch, unique} = step;
          const request = createRequest(epoch, unique, step.isFirstAttempt);
          const id = `${epoch}.${unique}`;
          const {action} = table.begin(request, now);
          if (action === KeyAction.Run) {
            expect(mayHaveRun.has(id) || running.has(id)).toBe(false);
            running.set(id, request);
          }
          // A first attempt cannot have run before, so refusing it as not run is always correct.
          if (action === KeyAction.RefuseNotRun && !step.isFirstAttempt) {
            expect(mayHaveRun.has(id) || running.has(id)).toBe(false);
          }
          if (action === KeyAction.Wait) expect(running.has(id)).toBe(true);
          expect(table.size).toBeLessThanOrEqual(OPTIONS.maxRecords);
          expect(table.runningCount).toBe(running.size);
        }
      }),
      {seed: 4102, numRuns: 500},
    );
  });

  it('guards against replaying a response to another request under the same key', () => {
    const table = new KeyTable(OPTIONS);
    const request = createRequest(0, 'a');
    table.begin(request, 0);
    table.recordResponse(request, {status: 200, headers: {}});
    const other = {...request, fingerprint: 'POST /other'};
    expect(table.begin(other, 0).action).toBe(KeyAction.RefuseInvalid);
    const {action} = table.begin({...request, scope: 'u/s'}, 0);
    expect(action).toBe(KeyAction.Run);
  });

  it('guards against running a key of a restarted home instance, or refusing its repeat as not run', () => {
    const table = new KeyTable({...OPTIONS, incarnation: 8});
    const getAction = (isFirst: boolean) =>
      table.begin(createRequest(0, 'a', isFirst), 0).action;
    expect(getAction(false)).toBe(KeyAction.RefuseUnknown);
    expect(getAction(true)).toBe(KeyAction.RefuseNotRun);
  });

  it('guards against reserving more memory for bodies than allowed', () => {
    const table = new KeyTable({...OPTIONS, maxBytes: 100_000});
    expect(table.begin(createRequest(0, 'a'), 0).action).toBe(KeyAction.Run);
    const {action} = table.begin(createRequest(0, 'b'), 0);
    expect(action).toBe(KeyAction.RefuseNotRun);
  });
});

describe('parseIdempotencyKey', () => {
  it.each([
    '',
    'a',
    'a.1',
    'a.1.0',
    'A.1.0.x',
    'a.1.0.',
    'a.x.0.u',
    'a.1.0.u v',
  ])('guards against parsing %j as a key', text =>
    expect(parseIdempotencyKey(text)).toBeUndefined(),
  );
});
