import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {chooseEndpoint, PriorityDemand} from '../../src/index.js';

const SLOTS = 3;
const SERVICE_MS = 50;
/** Requests per second that the endpoint can run. */
const CAPACITY = (1_000 * SLOTS) / SERVICE_MS;
const DURATION_MS = 30_000;

/** A priority's load and what became of it. */
interface Load {
  priority: number;
  objectiveMs: number;
  perSecond: number;
  offered: number;
  inTime: number;
}

function createLoad(
  priority: number,
  perSecond: number,
  objectiveMs: number,
): Load {
  return {priority, objectiveMs, perSecond, offered: 0, inTime: 0};
}

/** Plays loads on one endpoint that runs requests in the order of their arrival. */
function play(loads: readonly Load[], seed: number): void {
  const random = createRandom(seed);
  const demand = new PriorityDemand();
  const next = loads.map(({perSecond}) => drawGap(perSecond, random));
  const slotFreeAt = new Array<number>(SLOTS).fill(0);
  let doneAt: number[] = [];
  for (;;) {
    const now = Math.min(...next);
    if (now >= DURATION_MS) return;
    const i = next.indexOf(now);
    const load = loads[i] as Load;
    next[i] = now + drawGap(load.perSecond, random);
    doneAt = doneAt.filter(at => at > now);
    load.offered++;
    demand.countOffered(load.priority, load.objectiveMs, now);
    const choice = chooseEndpoint(
      [
        {
          id: 'e',
          rank: 0,
          slots: SLOTS,
          depth: doneAt.length,
          serviceMs: SERVICE_MS,
          isWarm: true,
          roundTripMs: 1,
          failureRatio: 0,
          isBlocked: false,
        },
      ],
      {
        remainingMs: 2_000,
        objectiveMs: load.objectiveMs,
        queueLimit: 5,
        reservedObjectiveMs: demand.getReservedObjectiveMs(load.priority, now),
      },
    );
    if (choice.id === undefined) continue;
    demand.countAdmitted(load.priority, now);
    const slot = slotFreeAt.indexOf(Math.min(...slotFreeAt));
    const startAt = Math.max(now, slotFreeAt[slot] ?? 0);
    const endAt = startAt - SERVICE_MS * Math.log(1 - random());
    slotFreeAt[slot] = endAt;
    doneAt.push(endAt);
    if (endAt - now <= load.objectiveMs) load.inTime++;
  }
}

function drawGap(perSecond: number, random: () => number): number {
  return (-1_000 / perSecond) * Math.log(1 - random());
}

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

function getRate({inTime, offered}: Load): number {
  return inTime / offered;
}

describe('PriorityDemand', () => {
  // Without reservations, urgent requests with a short objective were refused more often than others
  // with a long one, whose queues were longer than the urgent ones could wait.
  it.each([
    ['a little more than the capacity', 50 / 60],
    ['twice the capacity', 100 / 60],
    ['four times the capacity', 220 / 60],
  ])(
    'guards against urgent requests that are refused for others at %s',
    (_name, otherLoad) => {
      for (const seed of [1, 2, 3]) {
        const urgent = createLoad(0, CAPACITY / 3, 300);
        const other = createLoad(2, CAPACITY * otherLoad, 1_000);
        play([urgent, other], seed);
        expect(getRate(urgent)).toBeGreaterThan(0.9);
        expect(getRate(urgent)).toBeGreaterThan(getRate(other));
      }
    },
  );

  it('guards against starving the less urgent while urgent requests alone exceed the capacity', () => {
    fc.assert(
      fc.property(
        fc.double({min: 1.2, max: 4, noNaN: true}),
        fc.double({min: 0.2, max: 2, noNaN: true}),
        fc.integer({min: 1, max: 1_000_000}),
        (urgentLoad, otherLoad, seed) => {
          const urgent = createLoad(0, CAPACITY * urgentLoad, 300);
          const other = createLoad(1, CAPACITY * otherLoad, 300);
          play([urgent, other], seed);
          const mean =
            (urgent.inTime + other.inTime) / (urgent.offered + other.offered);
          expect(getRate(other)).toBeGreaterThanOrEqual(mean / 4);
        },
      ),
      {seed: 43, numRuns: 60},
    );
  });

  it('guards against a reservation while there is only one priority, or none more urgent is in use', () => {
    const demand = new PriorityDemand();
    demand.countOffered(1, 300, 0);
    expect(demand.getReservedObjectiveMs(1, 0)).toBe(Infinity);
    expect(demand.getReservedObjectiveMs(0, 0)).toBe(Infinity);
    expect(demand.getReservedObjectiveMs(2, 0)).toBe(300);
    expect(demand.getReservedObjectiveMs(2, 60_000)).toBe(Infinity);
  });
});
