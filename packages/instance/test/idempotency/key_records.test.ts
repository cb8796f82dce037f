import {
  connectTcp,
  createLogger,
  Outcome,
  Priority,
  RequestClass,
  Step,
  VirtualTimerService,
} from '@primrosestage/common';
import {
  createHash64,
  formatKeyPrefix,
  type InstanceInfo,
  type KeyRequest,
  KeyTable,
  Topology,
} from '@primrosestage/steering';
import {describe, expect, it} from 'vitest';
import type {AttemptResult, Refusal} from '../../src/exchange/index.js';
import {createBufferedBody} from '../../src/http/index.js';
import {createHandoverMessages} from '../../src/idempotency/handover.js';
import {
  HomeRouter,
  type HomeRouterOptions,
} from '../../src/idempotency/index.js';
import type {RequestContext} from '../../src/request_context.js';

const INCARNATION = 1;
const hash = await createHash64();
const instances: InstanceInfo[] = ['n0', 'n1', 'n2'].map((id, i) => ({
  id,
  zone: 'a',
  region: 'r',
  publicAddress: `127.40.20.${i + 1}:1`,
  internalAddress: `127.40.20.${i + 1}:2`,
  adminAddress: `127.40.20.${i + 1}:3`,
}));
const topology = new Topology({
  regions: ['r'],
  zones: [],
  links: [],
  services: [],
  endpoints: [],
  instances,
});

/** Creates the router of the first instance, whose peers give the results in order. */
function createRouter(results: AttemptResult[]): HomeRouter {
  const timers = new VirtualTimerService();
  return new HomeRouter({
    topology,
    self: instances[0],
    incarnation: INCARNATION,
    hash,
    relay: {send: async () => results.shift()},
    timers,
    logger: createLogger({level: 'error', fields: {}}),
    connect: connectTcp,
    getLiveInstances: () => instances,
  } as unknown as HomeRouterOptions);
}

function createRequest(home: string, isFirstAttempt: boolean): RequestContext {
  return {
    requestId: 'q-1',
    service: {team: 't', name: 's', priority: Priority.Normal},
    requestClass: RequestClass.NonIdempotent,
    method: 'POST',
    url: '/v1/requests/t/s/x',
    path: '/x',
    headers: {},
    deadlineAt: 10_000,
    hops: 0,
    sourceRegion: 'r',
    sourceZone: 'a',
    idempotencyKey: `${formatKeyPrefix(home, INCARNATION, 0)}.order`,
    isFirstAttempt,
  };
}

const refuse = (changes: Partial<Refusal>): AttemptResult => ({
  refusal: {
    outcome: Outcome.NotRun,
    status: 421,
    step: Step.Ingress,
    peer: 'n1',
    message: 'no records',
    ...changes,
  },
});
const unreachable = refuse({status: 503, step: Step.Relay});

const route = (router: HomeRouter, isFirstAttempt: boolean) =>
  router.route(
    createRequest('n2', isFirstAttempt),
    createBufferedBody(Buffer.alloc(0)),
    new AbortController().signal,
  );

describe('HomeRouter', () => {
  // The response of a successor that runs the request may be a copy of another refusal.
  it('guards against stating that a first attempt has not run after an outcome that is unknown', async () => {
    const router = createRouter([
      unreachable,
      refuse({outcome: Outcome.Unknown}),
      refuse({}),
    ]);
    const {refusal} = await route(router, true);
    expect(refusal).toMatchObject({outcome: Outcome.Unknown, status: 502});
  });

  it('guards against a status that promises for an outcome that is unknown', async () => {
    const router = createRouter([refuse({outcome: Outcome.Unknown})]);
    const {refusal} = await route(router, true);
    expect(refusal).toMatchObject({outcome: Outcome.Unknown, status: 502});
  });

  it.each([true, false])(
    'asks the next successor where one has no records (first attempt: %s)',
    async isFirstAttempt => {
      const outcome = isFirstAttempt ? Outcome.NotRun : Outcome.Unknown;
      const router = createRouter([unreachable, refuse({outcome})]);
      const {refusal} = await route(router, isFirstAttempt);
      expect(refusal).toMatchObject({
        outcome,
        status: isFirstAttempt ? 503 : 502,
      });
    },
  );

  /** Creates the messages with the record of one order, which has a response of 64 KB, and more. */
  function createMessages() {
    const table = new KeyTable({
      home: 'n2',
      incarnation: INCARNATION,
      startedAt: 0,
      maxRecords: 100,
      maxBytes: 1e9,
    });
    for (let i = 0; i < 20; i++) {
      const unique = i === 0 ? 'order' : `other-${i}`;
      const request: KeyRequest = {
        key: {home: 'n2', incarnation: INCARNATION, epoch: 0, unique},
        scope: 't/s',
        fingerprint: 'POST /x',
        isFirstAttempt: true,
      };
      table.begin(request, 0);
      const body = Buffer.alloc(64 * 1024);
      table.recordResponse(request, {status: 201, headers: {}, body});
    }
    const messages = [...createHandoverMessages(table, 0)];
    expect(messages.length).toBeGreaterThan(2);
    return messages;
  }

  it.each([
    ['the first', [1, 2]],
    ['the second', [0, 2]],
    ['all but the last', [2]],
  ])(
    'guards against confirming a handover of which %s is missing, so that its sender deletes the records',
    async (_, parts) => {
      const router = createRouter([unreachable, refuse({})]);
      const caller = router.createRouter().createCaller({});
      const messages = createMessages();
      const results = await Promise.allSettled(
        parts.map(part => caller.adoptKeys(messages[part]!)),
      );
      expect(results.at(-1)?.status).toBe('rejected');
      const {refusal} = await route(router, false);
      expect(refusal?.outcome).toBe(Outcome.Unknown);
    },
  );

  it('answers from records that were handed over whole, also in a second try', async () => {
    const router = createRouter([]);
    const caller = router.createRouter().createCaller({});
    const messages = createMessages();
    await caller.adoptKeys(messages[0]!);
    for (const message of messages) await caller.adoptKeys(message);
    const {answer} = await route(router, false);
    expect(answer?.status).toBe(201);
  });
});
