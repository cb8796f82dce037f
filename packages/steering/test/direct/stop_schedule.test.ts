import {describe, expect, it} from 'vitest';
import {canFinishBeforeStop, createStopSchedule} from '../../src/index.js';

const schedule = createStopSchedule(10_000, 6_000);

describe('createStopSchedule', () => {
  it('accepts for half of the timeout and ends before it', () => {
    expect(schedule).toEqual({acceptUntil: 13_000, endAt: 15_500});
  });
});

describe('canFinishBeforeStop', () => {
  const doTest = (
    now: number,
    answeredBy: number,
    expectedMs: number,
    expected: boolean,
  ) => {
    const request = {now, answeredBy, expectedMs};
    expect(canFinishBeforeStop(schedule, request)).toBe(expected);
  };

  it('forwards a request that is answered before the end', () => {
    doTest(14_900, 15_500, 1_000, true);
  });

  it('forwards an early request that is expected to be answered', () => {
    doTest(12_900, 16_900, 2_000, true);
  });

  it('refuses an early request that is expected to last too long', () => {
    doTest(12_900, 16_900, 2_700, false);
  });

  // Callers cannot repeat a non-idempotent request that the end of the stop has aborted.
  it('guards against forwarding a late request that may be aborted', () => {
    doTest(13_100, 15_501, 10, false);
  });
});
