import {describe, expect, it} from 'vitest';
import {
  EndpointLimits,
  parseRateLimit,
  type LimitObservation,
} from '@primrosestage/steering';

function observe(
  limits: EndpointLimits,
  changes: Partial<LimitObservation> = {},
) {
  const observation = {
    id: 'e1',
    bornAt: 1,
    perSecond: 3,
    observedAt: 1_000,
    from: 'instance-1',
    ...changes,
  };
  return limits.observe(observation, observation.observedAt);
}

describe('EndpointLimits', () => {
  it('keeps the latest limit when observations arrive in another order', () => {
    const limits = new EndpointLimits();
    observe(limits, {perSecond: 5, observedAt: 2_000});
    observe(limits, {perSecond: 3, observedAt: 1_000});
    expect(limits.get('e1', 1)?.perSecond).toBe(5);
  });

  it('reports a change only when the limit differs', () => {
    const limits = new EndpointLimits();
    const first = observe(limits);
    const same = observe(limits, {observedAt: 1_100});
    const raised = observe(limits, {perSecond: 4, observedAt: 1_200});
    expect(first?.previousPerSecond).toBeUndefined();
    expect(same).toBeUndefined();
    expect(raised?.previousPerSecond).toBe(3);
  });

  it('ends a limit when later responses state none', () => {
    const limits = new EndpointLimits();
    observe(limits);
    observe(limits, {perSecond: undefined, observedAt: 1_400});
    expect(limits.get('e1', 1)).toBeUndefined();
  });

  it('keeps a limit when a response without one has overtaken another', () => {
    const limits = new EndpointLimits();
    observe(limits);
    observe(limits, {perSecond: undefined, observedAt: 1_100});
    expect(limits.get('e1', 1)?.perSecond).toBe(3);
  });

  it('ignores a limit of an earlier process of the endpoint', () => {
    const limits = new EndpointLimits();
    observe(limits, {bornAt: 2});
    observe(limits, {bornAt: 1, observedAt: 5_000});
    expect(limits.get('e1', 1)).toBeUndefined();
    expect(limits.get('e1', 2)?.observedAt).toBe(1_000);
  });

  it('discards the limits of endpoints that are gone', () => {
    const limits = new EndpointLimits();
    observe(limits);
    expect(limits.prune(() => false)).toEqual(['e1']);
    expect(limits.get('e1', 1)).toBeUndefined();
  });
});

describe('parseRateLimit', () => {
  const doTest = (text: string, expected: number | undefined) =>
    expect(parseRateLimit(text)).toBe(expected);

  it('parses decimal numbers', () => {
    doTest('2.9', 2.9);
    doTest(' 12 ', 12);
    doTest('0', 0);
  });

  it('rejects everything else', () => {
    for (const text of ['', 'x', '-1', '1e9', '0x10', '3, 4', 'Infinity', '.'])
      doTest(text, undefined);
    doTest('9'.repeat(400), undefined);
  });
});
