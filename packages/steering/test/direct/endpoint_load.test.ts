import {describe, expect, it} from 'vitest';
import {
  AverageLoad,
  chooseEndpoint,
  EndpointLoad,
  WorkFactor,
} from '../../src/direct/index.js';

const LOAD = {running: 0, waiting: 0, slots: 3};

describe('WorkFactor', () => {
  it('lets the effect of a statement decay within some hundred ms', () => {
    const factor = new WorkFactor();
    expect(factor.get(0)).toBe(1);
    factor.observe(2.5, 0);
    expect(factor.get(0)).toBe(2.5);
    expect(factor.get(250)).toBeCloseTo(1.825);
    expect(factor.get(2_000)).toBeLessThan(1.2);
  });

  it('keeps the average of an endpoint that is always slow (guards against taking it for a fast one between responses)', () => {
    const factor = new WorkFactor();
    for (let now = 0; now < 60_000; now += 1_000) factor.observe(2, now);
    expect(factor.get(70_000)).toBeGreaterThan(1.95);
  });
});

describe('EndpointLoad', () => {
  it('expects the usual duration of work while no factor is stated', () => {
    const load = new EndpointLoad();
    load.observeReport(LOAD, 0);
    expect(load.getWorkFactor(0)).toBe(1);
    load.observeReport({...LOAD, workFactor: 2}, 10);
    load.observeReport(LOAD, 20);
    expect(load.getWorkFactor(20)).toBeGreaterThan(1.9);
  });

  const choose = (load: EndpointLoad, now: number) =>
    chooseEndpoint(
      [
        {
          id: 'e0',
          rank: 0,
          slots: 3,
          depth: 0,
          serviceMs: load.getServiceMs(150, now),
          isWarm: true,
          roundTripMs: 1,
          failureRatio: 0,
          isBlocked: false,
        },
      ],
      {remainingMs: 600, objectiveMs: 400, queueLimit: 5},
    );

  it('chooses an endpoint after one slow response (guards against excluding it from short requests for good)', () => {
    const load = new EndpointLoad();
    load.observeAnswer(1_050, 0, 150);
    expect(choose(load, 0).id).toBe('e0');
    for (let i = 1; i < 30; i++) load.observeAnswer(150, i, 150);
    load.observeAnswer(1_050, 30, 150);
    expect(load.getServiceMs(150, 30)).toBeLessThan(190);
  });

  it('follows an endpoint that stays slow, and forgets its time once it gets no requests', () => {
    const load = new EndpointLoad();
    for (let i = 0; i < 30; i++) load.observeAnswer(1_050, i, 150);
    expect(choose(load, 30).id).toBeUndefined();
    expect(choose(load, 20_000).id).toBe('e0');
    expect(load.getServiceMs(150, 60_000)).toBeLessThan(170);
  });
});

describe('AverageLoad', () => {
  it('averages reports over some seconds and forgets them', () => {
    const load = new AverageLoad();
    for (let now = 0; now < 30_000; now += 500) {
      load.observe(now % 1_000 === 0 ? 6 : 0, now);
    }
    expect(load.get(30_000)).toBeGreaterThan(2.5);
    expect(load.get(30_000)).toBeLessThan(3.5);
    expect(load.get(150_000)).toBeLessThan(0.1);
  });

  it('moves a request from an endpoint that had long queues in the last seconds (guards against hot endpoints that instances with few requests do not notice)', () => {
    const busy = {
      id: 'busy',
      rank: 0,
      slots: 3,
      depth: 0,
      averageDepth: 8,
      serviceMs: 100,
      isWarm: true,
      roundTripMs: 1,
      failureRatio: 0,
      isBlocked: false,
    };
    const other = {...busy, id: 'other', rank: 1, averageDepth: 1};
    const options = {remainingMs: 5_000, objectiveMs: 100, queueLimit: 5};
    expect(chooseEndpoint([busy, other], options).id).toBe('other');
    expect(chooseEndpoint([busy], options).id).toBe('busy');
    const calm = {...busy, averageDepth: 1};
    expect(chooseEndpoint([calm, other], options).id).toBe('busy');
  });
});
