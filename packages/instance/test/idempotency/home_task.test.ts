import {
  createLogger,
  InvariantMonitor,
  Outcome,
  Priority,
  RequestClass,
  Step,
  VirtualTimerService,
} from '@primrosestage/common';
import {
  type IdempotencyKey,
  KEY_EPOCH_MS,
  KEY_LIFETIME_MS,
  KeyAction,
  type KeyTable,
} from '@primrosestage/steering';
import {Registry} from 'prom-client';
import {describe, expect, it} from 'vitest';
import {createBufferedBody} from '../../src/http/index.js';
import {HomeTask} from '../../src/idempotency/home_task.js';
import type {Dispatcher} from '../../src/relay/index.js';
import type {RequestContext} from '../../src/request_context.js';

const KEY: IdempotencyKey = {
  home: 'n0',
  incarnation: 1,
  epoch: 0,
  unique: 'order',
};

/** A table that has lost its records, so that it runs each request. */
const FORGETFUL_TABLE = {
  begin: () => ({action: KeyAction.Run}),
  recordUnknown: () => {},
  recordNotRun: () => {},
} as unknown as KeyTable;

function setUp() {
  const timers = new VirtualTimerService();
  const logger = createLogger({level: 'silent', fields: {}});
  const monitor = new InvariantMonitor(logger, new Registry());
  const dispatcher = {
    dispatch: async () => ({
      refusal: {
        outcome: Outcome.Unknown,
        status: 502,
        step: Step.Backend,
        peer: 'e1',
        message: 'broken',
      },
    }),
  } as unknown as Dispatcher;
  const task = new HomeTask({selfId: 'n0', dispatcher, timers, monitor});
  const run = (unique = KEY.unique) =>
    task.execute(
      FORGETFUL_TABLE,
      {...KEY, unique},
      {
        requestId: 'q-1',
        service: {team: 't', name: 's', priority: Priority.Normal},
        requestClass: RequestClass.NonIdempotent,
        method: 'POST',
        path: '/x',
        deadlineAt: 1_000,
      } as RequestContext,
      createBufferedBody(Buffer.alloc(0)),
      new AbortController().signal,
    );
  return {timers, monitor, run};
}

describe('HomeTask', () => {
  it.each([1, KEY_EPOCH_MS, KEY_LIFETIME_MS - 1])(
    'guards against a second run that is not reported, %i ms after the first one',
    async delayMs => {
      const {timers, monitor, run} = setUp();
      // The first run is not long before the check of old runs.
      timers.advance(KEY_EPOCH_MS - 1);
      await run();
      timers.advance(delayMs);
      await run();
      expect(monitor.violationCount).toBe(1);
    },
  );

  it('guards against keeping runs whose keys are no longer accepted', async () => {
    const {timers, monitor, run} = setUp();
    await run();
    timers.advance(KEY_LIFETIME_MS + KEY_EPOCH_MS);
    await run();
    expect(monitor.violationCount).toBe(0);
  });
});
