import type {TimerService} from './timer_service.js';

interface VirtualTimer {
  readonly id: number;
  dueMs: number;
  readonly intervalMs: number | undefined;
  readonly fn: () => void;
}

/** Implements the timer service with a virtual clock that `advance` and `advanceAsync` move. */
export class VirtualTimerService implements TimerService {
  private readonly timers = new Map<number, VirtualTimer>();
  private nowMs = 0;
  private nextId = 1;

  /**
   * Creates the service.
   * @param wallStartMs - Wall clock at virtual time zero, in milliseconds since the Unix epoch.
   */
  constructor(private readonly wallStartMs = 0) {}

  now(): number {
    return this.nowMs;
  }

  wallNow(): number {
    return this.wallStartMs + this.nowMs;
  }

  every(intervalMs: number, fn: () => void): AsyncDisposable & Disposable {
    return this.schedule(intervalMs, intervalMs, fn);
  }

  after(delayMs: number, fn: () => void): AsyncDisposable & Disposable {
    return this.schedule(delayMs, undefined, fn);
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const finish = () => {
        subscription[Symbol.dispose]();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const subscription = this.after(delayMs, finish);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }

  /**
   * Moves the clock and calls the functions that become due, in order of their due time.
   * @param durationMs - How far to move the clock, in milliseconds.
   */
  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.getNextTimer();
      if (!next || next.dueMs > endMs) break;
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      this.fire(next);
    }
    this.nowMs = endMs;
  }

  /**
   * Moves the clock in steps and lets pending promises settle after each step.
   * @param durationMs - How far to move the clock, in milliseconds.
   * @param stepMs - Size of a step in milliseconds.
   */
  async advanceAsync(durationMs: number, stepMs = 10): Promise<void> {
    for (let remainingMs = durationMs; remainingMs > 0; remainingMs -= stepMs) {
      this.advance(Math.min(stepMs, remainingMs));
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  private schedule(
    delayMs: number,
    intervalMs: number | undefined,
    fn: () => void,
  ): AsyncDisposable & Disposable {
    const id = this.nextId++;
    this.timers.set(id, {id, dueMs: this.nowMs + delayMs, intervalMs, fn});
    const cancel = () => {
      this.timers.delete(id);
    };
    return {
      [Symbol.dispose]: cancel,
      [Symbol.asyncDispose]: async () => cancel(),
    };
  }

  private getNextTimer(): VirtualTimer | undefined {
    let next: VirtualTimer | undefined;
    for (const timer of this.timers.values()) {
      if (!next || timer.dueMs < next.dueMs) next = timer;
    }
    return next;
  }

  private fire(timer: VirtualTimer): void {
    if (timer.intervalMs === undefined) {
      this.timers.delete(timer.id);
    } else {
      timer.dueMs += timer.intervalMs;
    }
    timer.fn();
  }
}
