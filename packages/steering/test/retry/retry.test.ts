import {Priority, RequestClass} from '@primrosestage/common';
import {
  createRetryBudget,
  creditFirstAttempt,
  decideRetry,
  getHedgeDelay,
  RetryObstacle,
} from '@primrosestage/steering';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

const ATTEMPT = fc.record({
  requestClass: fc.constantFrom(...Object.values(RequestClass)),
  mayHaveRun: fc.boolean(),
  canResend: fc.boolean(),
  attempts: fc.integer({min: 1, max: 6}),
  remainingMs: fc.integer({min: -5, max: 100}),
  medianMs: fc.integer({min: 0, max: 50}),
});

describe('decideRetry', () => {
  it('guards against a second run of a non-idempotent request, a retry without time or body, and retries beyond a tenth of the load', () => {
    fc.assert(
      fc.property(fc.array(fc.array(ATTEMPT, {maxLength: 4})), requests => {
        let budget = createRetryBudget();
        let retries = 0;
        for (const attempts of requests) {
          budget = creditFirstAttempt(budget);
          for (const attempt of attempts) {
            const decision = decideRetry(attempt, budget);
            budget = decision.budget;
            if (decision.obstacle !== RetryObstacle.None) continue;
            retries++;
            const {requestClass, mayHaveRun} = attempt;
            const isIdempotent = requestClass === RequestClass.Idempotent;
            expect(isIdempotent || !mayHaveRun).toBe(true);
            expect(attempt.canResend).toBe(true);
            expect(attempt.remainingMs).toBeGreaterThan(0);
            expect(attempt.remainingMs).toBeGreaterThanOrEqual(
              attempt.medianMs,
            );
          }
        }
        expect(retries).toBeLessThanOrEqual(10 + 0.1 * requests.length + 1e-9);
      }),
      {seed: 4103, numRuns: 300},
    );
  });

  it('guards against a retry storm when every attempt fails', () => {
    let budget = createRetryBudget();
    let retries = 0;
    for (let i = 0; i < 1_000; i++) {
      budget = creditFirstAttempt(budget);
      const decision = decideRetry(
        {
          requestClass: RequestClass.Idempotent,
          mayHaveRun: true,
          canResend: true,
          attempts: 1,
          remainingMs: 100,
          medianMs: 0,
        },
        budget,
      );
      budget = decision.budget;
      if (decision.obstacle === RetryObstacle.None) retries++;
    }
    expect(retries).toBeGreaterThan(100);
    expect(retries).toBeLessThanOrEqual(110);
  });
});

describe('getHedgeDelay', () => {
  const candidate = {
    requestClass: RequestClass.Idempotent,
    priority: Priority.Normal,
    canResend: true,
    remainingMs: 100,
    medianMs: 10,
    p95Ms: 40,
  };

  it.each([
    ['a non-idempotent request', {requestClass: RequestClass.NonIdempotent}],
    ['a bulk request', {priority: Priority.Bulk}],
    ['a streamed body', {canResend: false}],
    ['a service without measurements', {p95Ms: 0}],
    ['too little time left', {remainingMs: 45}],
  ])('guards against a hedged request for %s', (_, change) => {
    expect(getHedgeDelay(candidate)).toBe(40);
    expect(getHedgeDelay({...candidate, ...change})).toBeUndefined();
  });
});
