import type {TimerService} from '@primrosestage/common';

/** Event loop iterations after which the end of a caller's connection has been read. */
const ITERATIONS_BEFORE_START = 2;
/** Time limit for starting requests in one event loop iteration, in milliseconds. */
const START_BUDGET_MS = 8;

interface WaitingRequest {
  dueIteration: number;
  start: () => void;
}

/**
 * Starts requests in the order of their arrival and limits the time spent on this per event loop
 * iteration. After a stall of the process, the end of a caller's connection may be buffered
 * directly after its request, and the event loop reads each connection once per iteration. If a
 * whole backlog were started in one iteration, requests of callers that have already
 * disconnected would be forwarded.
 */
export class RequestStartQueue {
  private readonly waiting: WaitingRequest[] = [];
  private iteration = 0;
  private isScheduled = false;

  /**
   * Creates the queue.
   * @param timers - The clock.
   */
  constructor(private readonly timers: TimerService) {}

  /** The number of requests that wait to be started. */
  get size(): number {
    return this.waiting.length;
  }

  /** Waits until connections have been read and an iteration has time for another start. */
  waitForStart(): Promise<void> {
    return new Promise(resolve => {
      const dueIteration = this.iteration + ITERATIONS_BEFORE_START;
      this.waiting.push({dueIteration, start: resolve});
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => void this.runIteration());
  }

  private async runIteration(): Promise<void> {
    this.isScheduled = false;
    this.iteration++;
    const endAt = this.timers.now() + START_BUDGET_MS;
    for (;;) {
      const next = this.waiting[0];
      if (!next || next.dueIteration > this.iteration) break;
      this.waiting.shift();
      next.start();
      // Lets the request run up to its first asynchronous wait before the clock is read.
      await undefined;
      if (this.timers.now() >= endAt) break;
    }
    if (this.waiting.length > 0) this.schedule();
  }
}
