import type {TimerService} from '@primrosestage/common';
import type {AttemptResult} from '../exchange/index.js';

/** An attempt that has been started and can be cancelled. */
export interface RunningAttempt {
  readonly result: Promise<AttemptResult>;
  cancel(): void;
}

/**
 * Waits for a promise for some time.
 * @param promise - The promise.
 * @param delayMs - The time in milliseconds.
 * @param timers - The clock.
 * @returns Its value; undefined after the time.
 */
export async function raceWithDelay<T>(
  promise: Promise<T>,
  delayMs: number,
  timers: TimerService,
): Promise<T | undefined> {
  const abort = new AbortController();
  try {
    return await Promise.race([
      promise,
      timers.sleep(delayMs, abort.signal).then(() => undefined),
    ]);
  } finally {
    // An explicit reason avoids the cost of the default reason's stack trace.
    abort.abort('done');
  }
}

/**
 * Returns the first answer and cancels the other attempts. Without an answer, the attempt that ends
 * last gives the refusal or the error.
 * @param attempts - The attempts.
 */
export async function raceAttempts(
  attempts: readonly RunningAttempt[],
): Promise<AttemptResult> {
  return new Promise((resolve, reject) => {
    let openCount = attempts.length;
    let isSettled = false;
    const end = (
      attempt: RunningAttempt,
      isAnswered: boolean,
      settle: () => void,
    ) => {
      openCount--;
      if (isSettled || (!isAnswered && openCount > 0)) return;
      isSettled = true;
      for (const other of attempts) if (other !== attempt) other.cancel();
      settle();
    };
    for (const attempt of attempts) {
      attempt.result.then(
        result => {
          if (isSettled) result.answer?.cancel();
          end(attempt, result.answer !== undefined, () => resolve(result));
        },
        err => end(attempt, false, () => reject(err)),
      );
    }
  });
}
