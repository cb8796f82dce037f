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
  Topology,
} from '@primrosestage/steering';
import {describe, expect, it} from 'vitest';
import type {AttemptResult, Refusal} from '../../src/exchange/index.js';
import {createBufferedBody} from '../../src/http/index.js';
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
});
