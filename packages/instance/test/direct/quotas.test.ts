import type {ClientAccount} from '@primrosestage/steering';
import {afterEach, describe, expect, it} from 'vitest';
import {
  BOUNDS,
  createRoute,
  getControlAddress,
  putConfiguration,
  putEndpoint,
  send,
  sleep,
  type TestInstance,
  waitFor,
  waitUntilServing,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';
import {TestFleet} from './test_fleet.js';

/** With a rate of 10 and no burst, at most 27 requests may arrive in any 2 s. */
const QUOTA = {windowMs: 2_000, overshoot: 0.1, slack: 5};
const RATE = 10;
const BOUND = 27;
const KEY = 'key-1';

function createAccount(ratePerSecond: number): ClientAccount {
  return {name: 'mill', keys: [KEY], ratePerSecond, burst: 0, homeRegions: []};
}

function sendAsAccount(test: TestInstance) {
  return send(test, {headers: {[NAMES.accountKey]: KEY}});
}

describe('quotas of accounts over real instances', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  const start = async (
    count: number,
    ratePerSecond: number,
    hasEndpoint = true,
  ) => {
    const registry = new MemoryRegistry();
    const stub = await fleet.startEndpoint('e1');
    putConfiguration(registry, 1, [createRoute()], {}, {}, [
      createAccount(ratePerSecond),
    ]);
    if (hasEndpoint) putEndpoint(registry, stub, {slots: 200});
    const instances: TestInstance[] = [];
    for (let number = 1; number <= count; number++) {
      instances.push(
        await fleet.start(registry, number, {
          seedAddresses: number === 1 ? [] : [getControlAddress(1)],
          bounds: {...BOUNDS, quota: QUOTA},
        }),
      );
    }
    await Promise.all(instances.map(waitUntilServing));
    return {stub, instances};
  };

  /** Waits until a request of the account runs through each instance. */
  const waitForCredit = async (instances: readonly TestInstance[]) => {
    for (const instance of instances) {
      await waitFor('the instance has credit', async () => {
        const {status} = await sendAsAccount(instance);
        return status === 200;
      });
    }
  };

  it('guard against arrivals above the bound when asked for at three instances', async () => {
    const {stub, instances} = await start(3, RATE);
    const answers = [];
    for (let i = 0; i < 240; i++) {
      const instance = instances[i % instances.length] as TestInstance;
      answers.push(sendAsAccount(instance));
      await sleep(20);
    }
    const results = await Promise.all(answers);
    for (const {status, headers} of results) {
      expect([200, 429]).toContain(status);
      if (status === 429) {
        expect(Number(headers['retry-after'])).toBeGreaterThan(0);
      }
    }
    expect(results.some(({status}) => status === 200)).toBe(true);
    expect(results.some(({status}) => status === 429)).toBe(true);
    const {ranAt} = stub;
    for (const from of ranAt) {
      const inWindow = ranAt.filter(
        at => at >= from && at < from + QUOTA.windowMs,
      );
      expect(inWindow.length).toBeLessThanOrEqual(BOUND);
    }
    const refused = instances.flatMap(({lines}) =>
      lines.filter(({fields}) => fields.decidedBy === 'quota-exceeded'),
    );
    expect(refused.length).toBeGreaterThan(0);
    await waitFor(
      'the use of the quota is logged',
      () =>
        instances.some(({lines}) =>
          lines.some(
            ({event, fields}) =>
              event === 'quota used' &&
              fields.account === 'mill' &&
              fields.perSecond === RATE &&
              Number(fields.denied) > 0,
          ),
        ),
      8_000,
    );
  });

  it('guard against refusals within the quota', async () => {
    const {instances} = await start(3, RATE);
    await waitForCredit(instances);
    await sleep(1_500);
    for (let i = 0; i < 15; i++) {
      const instance = instances[i % instances.length] as TestInstance;
      const {status} = await sendAsAccount(instance);
      expect(status).toBe(200);
      await sleep(250);
    }
  });

  it('guard against credit that is lost with requests which have not run', async () => {
    // Credit for one request comes each 10 s, and the bucket holds 2.
    const {instances} = await start(1, 0.1, false);
    const [instance] = instances as [TestInstance];
    await waitFor(
      'there is credit',
      async () => (await sendAsAccount(instance)).status === 503,
      20_000,
    );
    for (let i = 0; i < 10; i++) {
      const {status} = await sendAsAccount(instance);
      expect(status).toBe(503);
    }
  });
});
