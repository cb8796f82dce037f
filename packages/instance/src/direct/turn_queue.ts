import type {TimerService} from '@primrosestage/common';

/** Turns of the event loop after which the end of a caller's connection has been read. */
const ITERATIONS_BEFORE_START = 2;
/** Time that starting requests may take in one turn, in milliseconds. */
const START_BUDGET_MS = 8;

interface WaitingRequest {
  dueIteration: number;
  start: () => void;
}

/**
 * Lets requests start in the order of their arrival and bounds the time that they take in one
 * turn of the event loop. After a stall, the end of a caller's connection may lie right behind
 * its request, and the event loop reads a connection once per turn. Starting all requests of a
 * backlog in one turn would send on those whose callers leave meanwhile.
 */
export class TurnQueue {
  private readonly waiting: WaitingRequest[] = [];
  private iteration = 0;
  private isScheduled = false;

  /**
   * Creates the queue.
   * @param timers - The clock.
   */
  constructor(private readonly timers: TimerService) {}

  /** The number of requests that wait for their turn. */
  get size(): number {
    return this.waiting.length;
  }

  /** Waits until the connections have been read and the turn has time for another request. */
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
      // The request runs up to its first wait before the time is read.
      await undefined;
      if (this.timers.now() >= endAt) break;
    }
    if (this.waiting.length > 0) this.schedule();
  }
}
