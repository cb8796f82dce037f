import {RealTimerService} from '@primrosestage/common';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {DiscardedBuffers} from '../../src/direct/discarded_buffers.js';
import {ResponseBuffers} from '../../src/direct/send/response_buffers.js';
import {AttemptOutcome} from '../../src/direct/send/attempt.js';
import {EndpointAgent} from '../../src/direct/send/endpoint_agent.js';
import {sendAttempt} from '../../src/direct/send/send_attempt.js';
import {EndpointStub} from './endpoint_stub.js';
import {HOST} from './fleet.js';
import {NAMES} from './names.js';

const [LIMIT = ''] = NAMES.limit;
const [LEAVING = ''] = NAMES.leaving;
const STATEMENTS = {
  [NAMES.load]: '9,9,9',
  [LIMIT]: '0.5',
  [LEAVING]: '1',
  'retry-after': '5',
};

describe('requests that reach another endpoint than the one that is meant', () => {
  const timers = new RealTimerService();
  let stub: EndpointStub;
  let agent: EndpointAgent;

  beforeEach(async () => {
    stub = await new EndpointStub('successor').start();
    agent = new EndpointAgent();
  });

  afterEach(async () => {
    agent.destroy();
    await stub[Symbol.asyncDispose]();
  });

  const sendFor = (endpoint: string) => {
    const [host = '', port] = stub.address.split(':');
    const headers = {
      host: HOST,
      [NAMES.requestId]: `for-${endpoint}`,
      [NAMES.expectedEndpoint]: endpoint,
    };
    const request = {
      host,
      port: Number(port),
      method: 'GET',
      path: '/',
      headers,
      requestId: `for-${endpoint}`,
      timeoutMs: 1_000,
      connectTimeoutMs: 1_000,
    };
    return sendAttempt(request, {
      agent,
      timers,
      responseBuffers: new ResponseBuffers(Infinity),
      discardedBuffers: new DiscardedBuffers(Infinity, () => {}),
      names: NAMES,
    }).result;
  };

  // The load and the limit of the successor counted for the endpoint that was gone.
  it('guards against statements of another endpoint that count for the one that is meant', async () => {
    stub.handleMisdirected = (req, res, self) =>
      self.refuse(req, res, STATEMENTS, 421);
    const result = await sendFor('gone');
    expect(result).toMatchObject({
      outcome: AttemptOutcome.Refused,
      load: undefined,
      limit: undefined,
      isLeaving: false,
      retryAfter: undefined,
      respondedAt: undefined,
    });
  });

  it('reads the statements of the endpoint that is meant', async () => {
    stub.handle = (req, res, self) => self.refuse(req, res, STATEMENTS);
    const result = await sendFor('successor');
    expect(result).toMatchObject({
      outcome: AttemptOutcome.Refused,
      load: '9,9,9',
      limit: '0.5',
      isLeaving: true,
      retryAfter: '5',
    });
  });
});
