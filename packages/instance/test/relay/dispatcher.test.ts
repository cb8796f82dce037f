import {
  createLogger,
  InvariantMonitor,
  Outcome,
  Priority,
  RequestClass,
  Step,
  StepError,
  VirtualTimerService,
} from '@primrosestage/common';
import {Registry} from 'prom-client';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {AttemptResult} from '../../src/exchange/index.js';
import {createBufferedBody} from '../../src/http/index.js';
import {Dispatcher, type DispatcherOptions} from '../../src/relay/index.js';
import type {RequestContext} from '../../src/request_context.js';

const HEDGE_DELAY_MS = 10;

/** An attempt that ends some time after its start, with a result or an error. */
interface PlannedAttempt {
  afterMs: number;
  result?: AttemptResult;
}

const createAnswer = (): AttemptResult => ({
  answer: {
    status: 200,
    headers: {},
    chunks: (async function* () {})(),
    cancel: () => {},
  },
});
const refused: AttemptResult = {
  refusal: {
    outcome: Outcome.NotRun,
    status: 503,
    step: Step.Owner,
    peer: 'n2',
    message: 'no slot',
  },
};

/** Dispatches a request to two owners, the second of which is sent a hedged request. */
async function dispatch(plan: PlannedAttempt[]): Promise<AttemptResult> {
  const timers = new VirtualTimerService();
  const logger = createLogger({level: 'silent', fields: {}});
  const targets = ['n1', 'n2'].map(id => ({owner: {id, region: 'r'}}));
  const dispatcher = new Dispatcher({
    self: {id: 'n0', region: 'r'},
    selector: {selectTarget: () => targets.shift(), recordResult: () => {}},
    relay: {
      send: async () => {
        const {afterMs, result} = plan.shift()!;
        await timers.sleep(afterMs);
        if (result) return result;
        throw new StepError({step: Step.Relay, peer: 'n1'}, 'unexpected');
      },
    },
    retries: {
      creditFirstAttempt: () => {},
      acquireHedge: () => true,
      acquireRetry: () => false,
    },
    times: {
      getPercentiles: () => ({medianMs: 1, p95Ms: HEDGE_DELAY_MS}),
      record: () => {},
    },
    timers,
    logger,
    monitor: new InvariantMonitor(logger, new Registry()),
  } as unknown as DispatcherOptions);
  const ctx = {
    requestId: 'q-1',
    service: {team: 't', name: 's', priority: Priority.Normal},
    requestClass: RequestClass.Idempotent,
    deadlineAt: 1_000,
  } as RequestContext;
  const dispatched = dispatcher.dispatch(
    ctx,
    createBufferedBody(Buffer.alloc(0)),
    new AbortController().signal,
  );
  dispatched.catch(() => {});
  await timers.advanceAsync(200);
  return Promise.race([
    dispatched,
    new Promise<never>((_, reject) =>
      setTimeout(reject, 100, 'the dispatcher has not ended'),
    ),
  ]);
}

describe('Dispatcher', () => {
  const unhandled: unknown[] = [];
  const recordUnhandled = (err: unknown) => unhandled.push(err);
  let listeners: NodeJS.UnhandledRejectionListener[];

  // The test runner fails a run with an unhandled rejection, whichever test caused it.
  beforeEach(() => {
    unhandled.length = 0;
    listeners = process.listeners('unhandledRejection');
    process.removeAllListeners('unhandledRejection');
    process.on('unhandledRejection', recordUnhandled);
  });

  afterEach(() => {
    process.off('unhandledRejection', recordUnhandled);
    for (const listener of listeners)
      process.on('unhandledRejection', listener);
  });

  it('guards against losing the answer of a hedged request because the first attempt failed', async () => {
    const {answer} = await dispatch([
      {afterMs: 20},
      {afterMs: 40, result: createAnswer()},
    ]);
    expect(answer?.status).toBe(200);
    expect(unhandled).toEqual([]);
  });

  it('guards against an unhandled error of an attempt that ends after the answer', async () => {
    const {answer} = await dispatch([
      {afterMs: 60},
      {afterMs: 20, result: createAnswer()},
    ]);
    expect(answer?.status).toBe(200);
    expect(unhandled).toEqual([]);
  });

  it('guards against a request that never ends because both attempts failed', async () => {
    await expect(dispatch([{afterMs: 20}, {afterMs: 40}])).rejects.toThrow(
      'unexpected',
    );
    expect(unhandled).toEqual([]);
  });

  it('guards against stating that a request has not run after an attempt that failed', async () => {
    const {refusal} = await dispatch([
      {afterMs: 20},
      {afterMs: 40, result: refused},
    ]);
    expect(refusal).toMatchObject({outcome: Outcome.Unknown, status: 502});
    expect(unhandled).toEqual([]);
  });
});
