import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  getTotalVariation,
  normalizeShares,
  type RegionMeasurement,
  ShareState,
  type ShareVector,
} from '../../src/index.js';

const REGIONS = 3;
const INSTANCES = 4;
const EPSILON = 1e-9;

const VECTOR = fc
  .array(fc.integer({min: 0, max: 10}), {
    minLength: REGIONS,
    maxLength: REGIONS,
  })
  .map(weights => normalizeShares(weights) ?? [1, 0, 0]);

const MEASUREMENT: fc.Arbitrary<RegionMeasurement> = fc.record({
  slots: fc.integer({min: 0, max: 40}),
  freeSlots: fc.integer({min: 0, max: 40}),
  ageMs: fc.constantFrom(0, 2_900, 3_100, Infinity),
  isDrained: fc.boolean(),
  isFailed: fc.boolean(),
});

const STEP = fc.record({
  instance: fc.integer({min: 0, max: INSTANCES - 1}),
  elapsedMs: fc.integer({min: 0, max: 6_000}),
  baseline: VECTOR,
  measurements: fc.array(MEASUREMENT, {
    minLength: REGIONS,
    maxLength: REGIONS,
  }),
  demandSlots: fc.integer({min: 0, max: 60}),
  requests: fc.integer({min: 0, max: 60}),
  spills: fc.integer({min: 0, max: 10}),
  restarts: fc.nat({max: 7}).map(n => n === 0),
});

const CAP = fc.record({
  shiftCap: fc.constantFrom(0.05, 0.1, 0.3),
  shiftIntervalMs: fc.constantFrom(2_000, 10_000),
});

interface Sample {
  atMs: number;
  vectors: ShareVector[];
  startedAtMs: number[];
}

describe('ShareState', () => {
  it('guards against a window in which one instance or the mean of several moves more than the cap', () => {
    fc.assert(
      fc.property(
        CAP,
        VECTOR,
        fc.array(STEP, {maxLength: 60}),
        (cap, initial, steps) => {
          let nowMs = 0;
          const states = Array.from(
            {length: INSTANCES},
            () => new ShareState(initial, cap, nowMs),
          );
          const startedAtMs = states.map(() => 0);
          const samples: Sample[] = [];
          for (const step of steps) {
            nowMs += step.elapsedMs;
            const {instance} = step;
            if (step.restarts) {
              const peer = states[(instance + 1) % INSTANCES];
              const start = peer?.vector ?? initial;
              states[instance] = new ShareState(start, cap, nowMs);
              startedAtMs[instance] = nowMs;
            }
            states[instance]?.update({...step, headroom: 0.2, cap}, nowMs);
            samples.push({
              atMs: nowMs,
              vectors: states.map(({vector}) => vector),
              startedAtMs: [...startedAtMs],
            });
          }
          for (const late of samples) {
            for (const early of samples) {
              if (early.atMs > late.atMs) continue;
              if (late.atMs - early.atMs > cap.shiftIntervalMs) continue;
              const survivors = late.vectors
                .map((_, i) => i)
                .filter(i => (late.startedAtMs[i] ?? 0) <= early.atMs)
                .filter(i => early.startedAtMs[i] === late.startedAtMs[i]);
              const mean = ({vectors}: Sample) =>
                initial.map((_, region) =>
                  survivors.reduce(
                    (sum, i) =>
                      sum + (vectors[i]?.[region] ?? 0) / survivors.length,
                    0,
                  ),
                );
              expect(
                getTotalVariation(mean(early), mean(late)),
              ).toBeLessThanOrEqual(cap.shiftCap + EPSILON);
              for (const i of survivors) {
                expect(
                  getTotalVariation(
                    early.vectors[i] ?? [],
                    late.vectors[i] ?? [],
                  ),
                ).toBeLessThanOrEqual(cap.shiftCap + EPSILON);
              }
            }
          }
        },
      ),
      {seed: 4501, numRuns: 300},
    );
  });

  it('guards against spills and vector movement that together exceed the cap', () => {
    fc.assert(
      fc.property(
        CAP,
        VECTOR,
        fc.array(STEP, {maxLength: 40}),
        (cap, initial, steps) => {
          let nowMs = 0;
          const state = new ShareState(initial, cap, nowMs);
          const moves: {atMs: number; moved: number}[] = [];
          for (const step of steps) {
            nowMs += step.elapsedMs;
            const before = state.vector;
            state.update({...step, headroom: 0.2, cap}, nowMs);
            const moved = getTotalVariation(before, state.vector);
            moves.push({atMs: nowMs, moved});
            for (let i = 0; i < step.requests; i++) state.selectRegion(nowMs);
            const total = state.getRequestCount(nowMs);
            for (let i = 0; i < step.spills; i++) {
              if (state.trySpill(nowMs))
                moves.push({atMs: nowMs, moved: 1 / total});
            }
            const inWindow = moves
              .filter(({atMs}) => atMs > nowMs - cap.shiftIntervalMs)
              .reduce((sum, {moved: amount}) => sum + amount, 0);
            expect(inWindow).toBeLessThanOrEqual(cap.shiftCap + EPSILON);
          }
        },
      ),
      {seed: 4502, numRuns: 300},
    );
  });

  it('guards against a share that increases on measurements older than 3 s', () => {
    fc.assert(
      fc.property(
        CAP,
        VECTOR,
        fc.array(STEP, {maxLength: 30}),
        (cap, initial, steps) => {
          let nowMs = 0;
          const state = new ShareState(initial, cap, nowMs);
          for (const step of steps) {
            nowMs += step.elapsedMs;
            const before = state.vector;
            state.update({...step, headroom: 0.2, cap}, nowMs);
            step.measurements.forEach(({ageMs}, i) => {
              if (ageMs <= 3_000) return;
              expect(state.vector[i]).toBeLessThanOrEqual(
                (before[i] ?? 0) + EPSILON,
              );
            });
            const sum = state.vector.reduce((total, w) => total + w, 0);
            expect(sum).toBeCloseTo(1, 9);
          }
        },
      ),
      {seed: 4503, numRuns: 300},
    );
  });

  it('guards against repeated restarts that each start with a full token bucket', () => {
    fc.assert(
      fc.property(
        CAP,
        VECTOR,
        fc.array(STEP, {maxLength: 40}),
        (cap, initial, steps) => {
          const open = {slots: 9, freeSlots: 9, ageMs: 0};
          const usable = {...open, isDrained: false, isFailed: false};
          const shiftToLastRegion = {
            baseline: [0, 0, 1],
            measurements: [usable, usable, usable],
          };
          let nowMs = 0;
          let state = new ShareState(initial, cap, nowMs);
          const samples = [{atMs: 0, vector: initial}];
          for (const step of steps) {
            nowMs += step.elapsedMs / 10;
            if (step.requests > 30)
              state = new ShareState(state.vector, cap, nowMs);
            state.update(
              {...step, ...shiftToLastRegion, headroom: 0.2, cap},
              nowMs,
            );
            samples.push({atMs: nowMs, vector: state.vector});
            for (const {atMs, vector} of samples) {
              if (atMs < nowMs - cap.shiftIntervalMs) continue;
              expect(
                getTotalVariation(vector, state.vector),
              ).toBeLessThanOrEqual(cap.shiftCap + EPSILON);
            }
          }
        },
      ),
      {seed: 4505, numRuns: 300},
    );
  });

  it('guards against request counts that drift from the shares', () => {
    fc.assert(
      fc.property(VECTOR, fc.integer({min: 1, max: 500}), (initial, n) => {
        const cap = {shiftCap: 0.1, shiftIntervalMs: 10_000};
        const state = new ShareState(initial, cap, 0);
        const counts = initial.map(() => 0);
        for (let i = 0; i < n; i++) {
          const region = state.selectRegion(0);
          counts[region] = (counts[region] ?? 0) + 1;
        }
        initial.forEach((weight, i) =>
          expect(Math.abs((counts[i] ?? 0) - weight * n)).toBeLessThan(REGIONS),
        );
      }),
      {seed: 4504, numRuns: 200},
    );
  });

  it('guards against a drained region that never loses all its traffic', () => {
    const cap = {shiftCap: 0.2, shiftIntervalMs: 1_000};
    const state = new ShareState([1, 0, 0], cap, 0);
    const open = {slots: 10, freeSlots: 8, ageMs: 0, isFailed: false};
    for (let nowMs = 0; nowMs <= 15_000; nowMs += 500) {
      state.update(
        {
          baseline: [1, 0, 0],
          measurements: [
            {...open, isDrained: true},
            {...open, isDrained: false},
            {...open, isDrained: false},
          ],
          headroom: 0.2,
          demandSlots: 4,
          cap,
        },
        nowMs,
      );
    }
    expect(state.vector).toEqual([0, 0.5, 0.5]);
  });
});
