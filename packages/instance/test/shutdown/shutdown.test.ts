import {
  createLogger,
  InvariantMonitor,
  VirtualTimerService,
} from '@primrosestage/common';
import {Registry} from 'prom-client';
import {afterEach, describe, expect, it} from 'vitest';
import {runShutdown, type ShutdownSteps} from '../../src/shutdown/index.js';
import {call} from '../support/call.js';
import {sendRunNumber} from '../support/start_backend.js';
import {startSystem, type TestSystem} from '../support/start_system.js';

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('runShutdown', () => {
  /** Runs a shutdown in virtual time and records when each step starts. */
  async function run(
    replaced: Partial<ShutdownSteps> = {},
    openRequests = 0,
  ): Promise<{log: string[]; violations: number}> {
    const timers = new VirtualTimerService();
    const log: string[] = [];
    const recordStep = (name: string) => () => {
      log.push(`${timers.now()} ${name}`);
      return Promise.resolve();
    };
    const monitor = new InvariantMonitor(
      createLogger({level: 'none', fields: {}}),
      new Registry(),
    );
    let isDone = false;
    const done = runShutdown({
      steps: {
        markNotReady: recordStep('markNotReady'),
        drainCallerConnections: recordStep('drainCallerConnections'),
        announceLeaving: recordStep('announceLeaving'),
        releaseOwnership: recordStep('releaseOwnership'),
        handOverKeys: recordStep('handOverKeys'),
        finishRequests: recordStep('finishRequests'),
        closeConnections: recordStep('closeConnections'),
        ...replaced,
      },
      selfId: 'i-1',
      timers,
      logger: createLogger({level: 'none', fields: {}}),
      monitor,
      drainNoticeMs: 3_000,
      shutdownTimeoutMs: 60_000,
      getOpenRequests: () => openRequests,
    }).then(() => (isDone = true));
    for (let i = 0; i < 700 && !isDone; i++)
      await timers.advanceAsync(100, 100);
    await done;
    return {log, violations: monitor.violationCount};
  }

  it('runs the steps in order and waits for the drain notice (guards against steps out of order and a drain notice that is too short)', async () => {
    expect(await run()).toEqual({
      log: [
        '0 markNotReady',
        '0 drainCallerConnections',
        '0 announceLeaving',
        '3000 releaseOwnership',
        '3000 handOverKeys',
        '3000 finishRequests',
        '3000 closeConnections',
      ],
      violations: 0,
    });
  });

  it('runs the remaining steps if a step fails or hangs (guards against a failed or hanging step that prevents the later ones)', async () => {
    const {log} = await run({
      announceLeaving: () => Promise.reject(new TypeError('no route')),
      releaseOwnership: () => new Promise(() => {}),
      handOverKeys: () => new Promise(() => {}),
    });
    expect(log.at(-1)).toBe('55500 closeConnections');
  });

  it('reports an interrupted request as a violation (guards against an interrupted request that goes undetected)', async () => {
    expect((await run({}, 1)).violations).toBe(1);
  });
});

describe('graceful shutdown', () => {
  let system: TestSystem;

  afterEach(() => system.stopAll());

  it('completes requests at the instance and requests relayed to it (guards against requests interrupted by the shutdown)', async () => {
    system = await startSystem({
      subnet: 7,
      instances: 2,
      endpoints: 4,
      timing: {drainNoticeMs: 300},
      handle: (req, res, run) =>
        void setTimeout(() => sendRunNumber(req, res, run), 200),
    });
    const send = (i: number) =>
      call(`${system.getUrl(i)}/x`, {method: 'POST', body: 'order'});
    const before = [0, 1, 0, 1].map(send);
    await sleep(50);
    const stopped = system.stop(0);
    await sleep(100);
    // Callers with cached lookup responses still use the leaving instance.
    const during = [0, 1].map(send);
    const results = await Promise.all([...before, ...during]);
    await stopped;
    for (const {status, err} of results) {
      expect([status, err]).toEqual([200, undefined]);
    }
    expect(results.at(-2)?.headers.connection).toBe('close');
  });

  it('completes a request that takes longer than closing the listeners (guards against a request interrupted by the shutdown)', async () => {
    system = await startSystem({
      subnet: 7,
      timing: {drainNoticeMs: 100},
      handle: (req, res, run) =>
        void setTimeout(() => sendRunNumber(req, res, run), 3_600),
    });
    const slow = call(`${system.getUrl(0)}/x`);
    await sleep(50);
    await system.stop(0);
    const {status, err} = await slow;
    expect([status, err]).toEqual([200, undefined]);
  });
});
