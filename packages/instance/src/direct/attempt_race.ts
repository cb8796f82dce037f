import type {TimerService} from '@primrosestage/common';
import type {AttemptResult} from './attempt.js';
import type {OpenAttempt} from './start_attempt.js';

/** An attempt with how it ended. */
export interface FinishedAttempt {
  open: OpenAttempt;
  result: AttemptResult;
}

/** Holds the open attempts of one request and waits for the first that ends. */
export class AttemptRace {
  private readonly pending = new Map<OpenAttempt, Promise<FinishedAttempt>>();

  /**
   * Creates a race without attempts.
   * @param timers - The clock.
   */
  constructor(private readonly timers: TimerService) {}

  /** The number of attempts that have not ended. */
  get size(): number {
    return this.pending.size;
  }

  /**
   * Adds an attempt.
   * @param open - The attempt.
   * @param finished - Resolves when it ends.
   */
  add(open: OpenAttempt, finished: Promise<FinishedAttempt>): void {
    this.pending.set(open, finished);
  }

  /**
   * Waits for the first attempt that ends, and removes it.
   * @param timeoutMs - Longest wait in milliseconds; Infinity for none.
   * @returns The attempt, or undefined where none ends in time.
   */
  async takeFirstFinished(
    timeoutMs: number,
  ): Promise<FinishedAttempt | undefined> {
    const finished = await this.awaitFirstFinished(timeoutMs);
    if (finished) this.pending.delete(finished.open);
    return finished;
  }

  private async awaitFirstFinished(
    timeoutMs: number,
  ): Promise<FinishedAttempt | undefined> {
    const results = [...this.pending.values()];
    if (!Number.isFinite(timeoutMs)) return Promise.race(results);
    let timer: Disposable | undefined;
    const timeout = new Promise<undefined>(resolve => {
      timer = this.timers.after(timeoutMs, () => resolve(undefined));
    });
    try {
      return await Promise.race([...results, timeout]);
    } finally {
      timer?.[Symbol.dispose]();
    }
  }
}
