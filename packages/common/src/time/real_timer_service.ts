import {performance} from 'node:perf_hooks';
import type {TimerService} from './timer_service.js';

/** Longest delay of a timer of Node.js, in milliseconds; it would run a longer one at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** Implements the timer service with the clocks and timers of Node.js. */
export class RealTimerService implements TimerService {
  now(): number {
    return performance.now();
  }

  wallNow(): number {
    return Date.now();
  }

  every(intervalMs: number, fn: () => void): AsyncDisposable & Disposable {
    const timer = setInterval(fn, limitDelay(intervalMs));
    return createSubscription(() => clearInterval(timer));
  }

  after(delayMs: number, fn: () => void): AsyncDisposable & Disposable {
    const timer = setTimeout(fn, limitDelay(delayMs));
    return createSubscription(() => clearTimeout(timer));
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, limitDelay(delayMs));
      signal?.addEventListener('abort', finish, {once: true});
    });
  }
}

function limitDelay(delayMs: number): number {
  return Math.min(delayMs, MAX_DELAY_MS);
}

function createSubscription(cancel: () => void): AsyncDisposable & Disposable {
  return {
    [Symbol.dispose]: cancel,
    [Symbol.asyncDispose]: async () => cancel(),
  };
}
