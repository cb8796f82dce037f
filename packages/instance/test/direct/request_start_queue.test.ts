import {RealTimerService} from '@primrosestage/common';
import {describe, expect, it} from 'vitest';
import {RequestStartQueue} from '../../src/direct/listen/request_start_queue.js';

describe('RequestStartQueue', () => {
  const blockEventLoop = (ms: number) => {
    const until = performance.now() + ms;
    while (performance.now() < until);
  };

  it('starts requests in the order of their arrival', async () => {
    const queue = new RequestStartQueue(new RealTimerService());
    const started: number[] = [];
    await Promise.all(
      [0, 1, 2, 3].map(async i => {
        await queue.waitForStart();
        started.push(i);
      }),
    );
    expect(started).toEqual([0, 1, 2, 3]);
    expect(queue.size).toBe(0);
  });

  it('guards against starting a backlog without reading connections in between', async () => {
    const queue = new RequestStartQueue(new RealTimerService());
    let iterations = 0;
    let isDone = false;
    const countIteration = () => {
      iterations++;
      if (!isDone) setImmediate(countIteration);
    };
    setImmediate(countIteration);
    const startsByIteration = new Map<number, number>();
    await Promise.all(
      Array.from({length: 12}, async () => {
        await queue.waitForStart();
        blockEventLoop(10);
        startsByIteration.set(
          iterations,
          (startsByIteration.get(iterations) ?? 0) + 1,
        );
      }),
    );
    isDone = true;
    expect(Math.max(...startsByIteration.values())).toBe(1);
  });
});
