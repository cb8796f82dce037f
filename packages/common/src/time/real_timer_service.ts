import {performance} from 'node:perf_hooks';
import type {TimerService} from './timer_service.js';

/** Implements the timer service with the clocks and timers of Node.js. */
export class RealTimerService implements TimerService {
  now(): number {
    return performance.now();
  }

  wallNow(): number {
    return Date.now();
  }

  every(intervalMs: number, fn: () => void): AsyncDisposable & Disposable {
    const timer = setInterval(fn, intervalMs);
    return createSubscription(() => clearInterval(timer));
  }

  after(delayMs: number, fn: () => void): AsyncDisposable & Disposable {
    const timer = setTimeout(fn, delayMs);
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
      const timer = setTimeout(finish, delayMs);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }
}

function createSubscription(cancel: () => void): AsyncDisposable & Disposable {
  return {
    [Symbol.dispose]: cancel,
    [Symbol.asyncDispose]: async () => cancel(),
  };
}
