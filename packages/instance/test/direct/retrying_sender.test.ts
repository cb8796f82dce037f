import type {IncomingMessage} from 'node:http';
import {RealTimerService} from '@primrosestage/common';
import {RequestKind} from '@primrosestage/steering';
import {afterEach, describe, expect, it} from 'vitest';
import {EndpointAgent} from '../../src/direct/send/endpoint_agent.js';
import {BeginResult} from '../../src/direct/place/endpoint_selector.js';
import {RetryingSender} from '../../src/direct/send/retrying_sender.js';
import type {SenderOptions} from '../../src/direct/send/sender_options.js';
import {EndpointStub} from './endpoint_stub.js';
import {createRoute} from './fleet.js';
import {NAMES} from './names.js';

describe('RetryingSender', () => {
  const timers = new RealTimerService();
  const agent = new EndpointAgent();
  let stub: EndpointStub;

  afterEach(async () => {
    agent.destroy();
    await stub[Symbol.asyncDispose]();
  });

  /** Creates a sender whose only endpoint is always selected. */
  const createSender = () => {
    const endpoint = {entry: {id: stub.id, address: stub.address}};
    const choice = {id: stub.id, finishMs: 10};
    const selector = {
      select: () => ({choice, endpoint, candidate: {depth: 0, rank: 0}}),
      begin: () => BeginResult.Begun,
      getServiceMs: () => 10,
      countOffered: () => {},
      countAdmitted: () => {},
    };
    const options = {
      selector,
      agent,
      timers,
      names: NAMES,
      limitTracker: {describe: () => undefined},
      metrics: {placements: {inc: () => {}}},
      getStopSchedule: () => undefined,
      log: {writeError: () => {}},
    };
    const req = {method: 'POST', url: '/', rawHeaders: []};
    return new RetryingSender(
      {
        req: req as unknown as IncomingMessage,
        requestId: 'id',
        body: undefined,
        route: createRoute({kind: RequestKind.Unsafe}),
        terms: {priority: 0, homeRegions: []},
        account: undefined,
        service: 'pages',
        objectKey: 'id',
        timeoutAt: timers.now() + 1_000,
        traceParent: undefined,
      },
      options as unknown as SenderOptions,
    );
  };

  // A request that ended before the attempt was registered was answered 503, although it ran.
  it('guards against counting a request that is being sent as not run', async () => {
    stub = await new EndpointStub('e1').start();
    const sender = createSender();
    expect(sender.mayHaveRun).toBe(false);
    void sender.send();
    expect(sender.mayHaveRun).toBe(true);
    sender.stop();
    sender.cancelOpenAttempts();
  });
});
