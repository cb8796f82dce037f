import type {TimerService} from '@primrosestage/common';
import {type AttemptResult, discardResponse} from './attempt.js';
import type {OpenAttempt} from './start_attempt.js';

/** An attempt with its result. */
export interface FinishedAttempt {
  open: OpenAttempt;
  result: AttemptResult;
}

/** Holds the pending attempts of one request and waits for the first to finish. */
export class AttemptRace {
  private readonly pending = new Map<OpenAttempt, Promise<FinishedAttempt>>();

  /**
   * Creates a race without attempts.
   * @param timers - The clock.
   */
  constructor(private readonly timers: TimerService) {}

  /** The number of pending attempts. */
  get size(): number {
    return this.pending.size;
  }

  /**
   * Adds an attempt.
   * @param open - The attempt.
   * @param finished - Resolves when the attempt finishes.
   */
  add(open: OpenAttempt, finished: Promise<FinishedAttempt>): void {
    this.pending.set(open, finished);
  }

  /**
   * Waits for the first attempt to finish, and removes it.
   * @param timeoutMs - Longest wait in milliseconds; Infinity for no timeout.
   * @returns The finished attempt, or undefined if none finishes in time.
   */
  async takeFirstFinished(
    timeoutMs: number,
  ): Promise<FinishedAttempt | undefined> {
    const finished = await this.awaitFirstFinished(timeoutMs);
    if (finished) this.pending.delete(finished.open);
    return finished;
  }

  /** Discards the responses of the attempts that are still pending, when they finish. */
  discardPending(): void {
    for (const pending of this.pending.values()) {
      void pending.then(({result}) => discardResponse(result));
    }
    this.pending.clear();
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
