import {afterEach, describe, expect, it} from 'vitest';
import {call} from '../support/call.js';
import {startSystem, type TestSystem} from '../support/start_system.js';

let system: TestSystem;

afterEach(() => system.stopAll());

describe('admission', () => {
  it('guards against exceeding the slots of an endpoint, and against running a request that was refused as not run', async () => {
    system = await startSystem({
      subnet: 1,
      instances: 3,
      endpoints: 3,
      slots: 2,
      handle: (req, res) => void setTimeout(() => res.end('done'), 30),
    });
    const results = await Promise.all(
      Array.from({length: 120}, async (_, i) => {
        const method = i % 2 ? 'POST' : 'GET';
        const path = `/x?n=${i}`;
        const result = await call(`${system.getUrl(i % 3)}${path}`, {method});
        return {...result, method, path};
      }),
    );
    const answered = results.filter(({status}) => status === 200);
    const refused = results.filter(({status}) => status === 503);
    expect(answered.length + refused.length).toBe(120);
    expect(refused.length).toBeGreaterThan(0);
    for (const {headers} of refused) {
      expect(headers['primrose-outcome']).toBe('not-run');
      expect(headers['retry-after']).toBe('1');
    }
    const runs = system.backends.flatMap(({requests}) => requests);
    const countRuns = (path: string) =>
      runs.filter(({url}) => url?.endsWith(path)).length;
    for (const {path} of refused) expect(countRuns(path), path).toBe(0);
    for (const {path, method} of answered) {
      // A GET may also be sent to a second endpoint (hedging) if its answer is slow.
      if (method === 'GET') expect(countRuns(path)).toBeGreaterThan(0);
      else expect(countRuns(path), path).toBe(1);
    }
    for (const backend of system.backends) {
      expect(backend.maxInFlight).toBeLessThanOrEqual(2);
    }
    for (const i of [0, 1, 2]) {
      const name = 'primrose_invariant_violations_total';
      expect(await system.getMetric(i, name)).toBe(0);
    }
  });
});
