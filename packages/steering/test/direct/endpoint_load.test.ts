import {describe, expect, it} from 'vitest';
import {EndpointLoad, WorkFactor} from '../../src/direct/index.js';

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
});
