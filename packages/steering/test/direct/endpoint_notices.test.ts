import {describe, expect, it} from 'vitest';
import {EndpointNotices, NoticeChange} from '../../src/index.js';

const PROCESS = {id: 'e1', bornAt: 1_000};
const RESTARTED = {id: 'e1', bornAt: 2_000};

describe('EndpointNotices', () => {
  it('excludes a leaving endpoint until another process of it has started', () => {
    const notices = new EndpointNotices();
    expect(notices.observe(PROCESS, {isLeaving: true}, 0)).toEqual([
      NoticeChange.Leaving,
    ]);
    expect(notices.observe(PROCESS, {isLeaving: false}, 5)).toEqual([]);
    expect(notices.getWaitMs(PROCESS, 1e9)).toBe(Infinity);
    expect(notices.getWaitMs(RESTARTED, 5)).toBe(0);
  });

  it('guards against a shorter wait that ends a longer one', () => {
    const notices = new EndpointNotices();
    notices.observe(PROCESS, {isLeaving: false, waitMs: 5_000}, 0);
    notices.observe(PROCESS, {isLeaving: false, waitMs: 100}, 10);
    expect(notices.getWaitMs(PROCESS, 1_000)).toBe(4_000);
    notices.observe(PROCESS, {isLeaving: false, waitMs: 9_000}, 1_000);
    expect(notices.getWaitMs(PROCESS, 1_000)).toBe(9_000);
    expect(notices.getWaitMs(PROCESS, 10_000)).toBe(0);
    expect(notices.getWaitMs(RESTARTED, 1_000)).toBe(0);
  });

  it('guards against forgetting a leave while the endpoint is still registered', () => {
    const notices = new EndpointNotices();
    notices.observe(PROCESS, {isLeaving: true}, 0);
    notices.prune(500_000, () => true);
    notices.prune(1_000_000, () => false);
    expect(notices.getWaitMs(PROCESS, 1_000_000)).toBe(Infinity);
    notices.prune(1_200_000, () => false);
    expect(notices.count(1_200_000)[NoticeChange.Leaving]).toBe(0);
  });
});
