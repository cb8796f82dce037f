import {getLingerMs} from '@primrosestage/steering';
import {describe, expect, it} from 'vitest';

describe('getLingerMs', () => {
  it.each([
    ['the deadline has passed', -Infinity, 500],
    ['the deadline is near', 100, 500],
    ['the caller waits', 2_000, 2_000],
    ['the deadline is very late', 1e9, 30_000],
  ])('bounds the wait where %s', (_, awaitedMs, expected) => {
    expect(getLingerMs(awaitedMs)).toBe(expected);
  });
});
