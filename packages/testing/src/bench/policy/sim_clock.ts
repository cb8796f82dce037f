import type {TimerService} from '@primrosestage/common';

interface SimEvent {
  dueMs: number;
  sequence: number;
  fn: () => void;
}

/** Runs events in order of virtual time, from a binary heap, because a run has millions of them. */
export class SimClock implements TimerService {
  private readonly heap: SimEvent[] = [];
  private nowMs = 0;
  private nextSequence = 0;

  now(): number {
    return this.nowMs;
  }

  wallNow(): number {
    return this.nowMs;
  }

  /** Schedules a function that cannot be cancelled. */
  at(dueMs: number, fn: () => void): void {
    this.push({
      dueMs: Math.max(dueMs, this.nowMs),
      sequence: this.nextSequence++,
      fn,
    });
  }

  every(intervalMs: number, fn: () => void): AsyncDisposable & Disposable {
    let isActive = true;
    const run = () => {
      if (!isActive) return;
      fn();
      this.at(this.nowMs + intervalMs, run);
    };
    this.at(this.nowMs + intervalMs, run);
    return createSubscription(() => (isActive = false));
  }

  after(delayMs: number, fn: () => void): AsyncDisposable & Disposable {
    let isActive = true;
    this.at(this.nowMs + delayMs, () => {
      if (isActive) fn();
    });
    return createSubscription(() => (isActive = false));
  }

  async sleep(delayMs: number): Promise<void> {
    await new Promise<void>(resolve => this.at(this.nowMs + delayMs, resolve));
  }

  /**
   * Runs all events up to a time.
   * @param endMs - The time in milliseconds.
   */
  runUntil(endMs: number): void {
    for (;;) {
      const next = this.heap[0];
      if (!next || next.dueMs > endMs) break;
      this.pop();
      this.nowMs = next.dueMs;
      next.fn();
    }
    this.nowMs = endMs;
  }

  private push(event: SimEvent): void {
    const {heap} = this;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent] as SimEvent)) break;
      heap[index] = heap[parent] as SimEvent;
      index = parent;
    }
    heap[index] = event;
  }

  private pop(): void {
    const {heap} = this;
    const last = heap.pop() as SimEvent;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right && isBefore(right, heap[child] as SimEvent)) child++;
      if (!isBefore(heap[child] as SimEvent, last)) break;
      heap[index] = heap[child] as SimEvent;
      index = child;
    }
    heap[index] = last;
  }
}

function isBefore(a: SimEvent, b: SimEvent): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.sequence < b.sequence);
}

function createSubscription(cancel: () => void): AsyncDisposable & Disposable {
  return {
    [Symbol.dispose]: cancel,
    [Symbol.asyncDispose]: async () => cancel(),
  };
}
