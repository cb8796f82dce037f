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
   * @param patienceMs - Longest wait in milliseconds; Infinity for none.
   * @returns The attempt, or undefined where none ends in time.
   */
  async takeFirst(patienceMs: number): Promise<FinishedAttempt | undefined> {
    const finished = await this.awaitFirst(patienceMs);
    if (finished) this.pending.delete(finished.open);
    return finished;
  }

  private async awaitFirst(
    patienceMs: number,
  ): Promise<FinishedAttempt | undefined> {
    const ends = [...this.pending.values()];
    if (!Number.isFinite(patienceMs)) return Promise.race(ends);
    let timer: Disposable | undefined;
    const patience = new Promise<undefined>(resolve => {
      timer = this.timers.after(patienceMs, () => resolve(undefined));
    });
    try {
      return await Promise.race([...ends, patience]);
    } finally {
      timer?.[Symbol.dispose]();
    }
  }
}
