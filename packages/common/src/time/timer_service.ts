/** Provides clocks and timers; all components use them instead of the global ones. */
export interface TimerService {
  /**
   * Reads the monotonic clock.
   * @returns Milliseconds since an arbitrary origin.
   */
  now(): number;

  /**
   * Reads the wall clock.
   * @returns Milliseconds since the Unix epoch.
   */
  wallNow(): number;

  /**
   * Calls a function periodically until the subscription is disposed.
   * @param intervalMs - Time between calls in milliseconds.
   * @param fn - The function to call. If it returns a promise, the caller must handle a rejection.
   * @returns The subscription.
   */
  every(intervalMs: number, fn: () => void): AsyncDisposable & Disposable;

  /**
   * Calls a function once after a delay unless the subscription is disposed.
   * @param delayMs - Delay in milliseconds.
   * @param fn - The function to call.
   * @returns The subscription.
   */
  after(delayMs: number, fn: () => void): AsyncDisposable & Disposable;

  /**
   * Waits for a delay.
   * @param delayMs - Delay in milliseconds.
   * @param signal - Ends the wait early; the promise then resolves at once.
   * @returns A promise that resolves after the delay.
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}
