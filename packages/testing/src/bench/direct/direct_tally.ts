import type {SimRequestKind} from './deployment.js';

/** Final outcome of a caller's request. */
export enum CallerOutcome {
  /** An answer within the latency objective, measured from the first try. */
  InTime = 'in time',
  Late = 'late',
  Refused = 'refused',
  /** No answer before the deadline. */
  Failed = 'failed',
}

/** Counts the outcomes of callers by kind of request and by zone. */
export class DirectTally {
  private readonly counts = new Map<string, number>();

  /**
   * Counts a caller.
   * @param caller - Its kind of request and its zone.
   * @param outcome - Its outcome.
   */
  count(
    {kind, zone}: {kind: SimRequestKind; zone: string},
    outcome: CallerOutcome,
  ): void {
    for (const group of ['', kind.name, zone]) {
      this.add(`${group} ${outcome}`);
      this.add(`${group} all`);
    }
  }

  /**
   * Returns the number of callers.
   * @param group - A kind of request or a zone; all callers if empty.
   */
  getCallerCount(group = ''): number {
    return this.counts.get(`${group} all`) ?? 0;
  }

  /**
   * Returns the fraction of the callers with an outcome.
   * @param outcome - The outcome.
   * @param group - A kind of request or a zone; all callers if empty.
   */
  getFraction(outcome: CallerOutcome, group = ''): number {
    const count = this.counts.get(`${group} ${outcome}`) ?? 0;
    return count / Math.max(1, this.getCallerCount(group));
  }

  private add(key: string): void {
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }
}
