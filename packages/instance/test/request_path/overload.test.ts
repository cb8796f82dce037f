import http from 'node:http';
import {afterEach, describe, expect, it} from 'vitest';
import {call} from '../support/call.js';
import {startSystem, type TestSystem} from '../support/start_system.js';

/** Long enough that the endpoints are the bottleneck and not the CPU of the test machine. */
const SERVICE_MS = 100;
const SLOTS = 4;
const ENDPOINTS = 2;
/** Requests per second that the endpoints can process. */
const CAPACITY = (ENDPOINTS * SLOTS * 1_000) / SERVICE_MS;
const OVERLOAD_MS = 3_000;
const RECOVERY_MS = 2_000;
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

let system: TestSystem;

afterEach(() => system.stopAll());

/** Sends requests at a fixed rate; a failed one is retried up to twice, as impatient callers do. */
async function sendLoad(url: string, rate: number, durationMs: number) {
  const counts = {answered: 0, refused: 0, other: 0};
  const agent = new http.Agent({keepAlive: true});
  const pending: Promise<void>[] = [];
  const send = async () => {
    for (let attempt = 0; attempt < 3; attempt++) {
      const {status, headers} = await call(url, {agent});
      if (status === 200) counts.answered++;
      else if (headers['primrose-outcome'] === 'not-run') counts.refused++;
      else counts.other++;
      if (status === 200) return;
      await sleep(20);
    }
  };
  const startedAt = performance.now();
  for (let sent = 0; ;) {
    const elapsedMs = performance.now() - startedAt;
    if (elapsedMs >= durationMs) break;
    for (; sent < (elapsedMs * rate) / 1_000; sent++) pending.push(send());
    await sleep(5);
  }
  await Promise.all(pending);
  agent.destroy();
  return counts;
}

describe('overload', () => {
  it('guards against a collapse at twice the capacity, and against a metastable state after the overload', async () => {
    system = await startSystem({
      subnet: 5,
      endpoints: ENDPOINTS,
      slots: SLOTS,
      handle: (req, res) => void setTimeout(() => res.end('ok'), SERVICE_MS),
    });
    const url = `${system.getUrl(0)}/x`;
    const duringOverload = await sendLoad(url, 2 * CAPACITY, OVERLOAD_MS);
    expect(duringOverload.other).toBe(0);
    expect(duringOverload.refused).toBeGreaterThan(0);
    // Goodput is close to 0 in a collapse; half of the capacity allows for a busy test machine.
    expect(duringOverload.answered).toBeGreaterThan(
      (CAPACITY / 2) * (OVERLOAD_MS / 1e3),
    );
    for (const backend of system.backends) {
      expect(backend.maxInFlight).toBeLessThanOrEqual(SLOTS);
    }
    await sleep(RECOVERY_MS);
    const afterRecovery = await sendLoad(url, CAPACITY / 4, 1_000);
    expect(afterRecovery.refused + afterRecovery.other).toBe(0);
    const violations = 'primrose_invariant_violations_total';
    expect(await system.getMetric(0, violations)).toBe(0);
  });
});
