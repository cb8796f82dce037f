import {VirtualTimerService} from '@primrosestage/common';
import {describe, expect, it} from 'vitest';
import {BodySchedule} from '../../src/direct/listen/body_schedule.js';

const nextIteration = () => new Promise(resolve => setImmediate(resolve));

describe('BodySchedule', () => {
  it('guards against bodies that take the whole event loop, and lets each have its turn', async () => {
    const timers = new VirtualTimerService();
    const schedule = new BodySchedule(timers);
    const turns: string[] = [];
    const wait = (id: string) =>
      schedule.wait(() => {
        turns.push(id);
        schedule.measure(() => void timers.advance(10));
        wait(id);
      });
    schedule.measure(() => void timers.advance(10));
    expect(schedule.hasTime).toBe(false);
    for (const id of ['a', 'b', 'c']) wait(id);
    expect(turns).toEqual([]);
    await nextIteration();
    expect(turns).toEqual(['a']);
    await nextIteration();
    await nextIteration();
    await nextIteration();
    expect(turns).toEqual(['a', 'b', 'c', 'a']);
  });

  it('gives no turn to a connection that no longer waits', async () => {
    const schedule = new BodySchedule(new VirtualTimerService());
    let turns = 0;
    const parse = () => turns++;
    schedule.wait(parse);
    schedule.remove(parse);
    await nextIteration();
    expect(turns).toBe(0);
    expect(schedule.hasTime).toBe(true);
  });
});
