import type {TimerService} from '@primrosestage/common';

/** Time for parsing request bodies in one event loop iteration, in milliseconds. */
const BUDGET_MS = 8;

/** Parses a part of a request body when its turn has come. */
export type ParseInTurn = () => void;

/**
 * Shares the time for parsing request bodies among connections. A body in tiny chunks costs far more
 * time than its bytes; without a limit per event loop iteration, a few of them would keep the
 * requests of all other callers from being read.
 */
export class BodySchedule {
  private readonly waiting = new Set<ParseInTurn>();
  private usedMs = 0;
  private isScheduled = false;

  /**
   * Creates a schedule in which no connection waits.
   * @param timers - The clock.
   */
  constructor(private readonly timers: TimerService) {}

  /** Whether there is time left in this event loop iteration. */
  get hasTime(): boolean {
    return this.usedMs < BUDGET_MS;
  }

  /**
   * Lets a connection wait for its turn, in a later event loop iteration.
   * @param parse - Called once when the turn has come.
   */
  wait(parse: ParseInTurn): void {
    this.waiting.add(parse);
    this.schedule();
  }

  /**
   * Removes a connection that no longer waits.
   * @param parse - The function with which it waited.
   */
  remove(parse: ParseInTurn): void {
    this.waiting.delete(parse);
  }

  /**
   * Counts the time that parsing a part of a body takes.
   * @param parse - Parses the part.
   * @returns The time in milliseconds.
   */
  measure(parse: () => void): number {
    const startedAt = this.timers.now();
    parse();
    const ms = this.timers.now() - startedAt;
    this.usedMs += ms;
    this.schedule();
    return ms;
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.runIteration());
  }

  private runIteration(): void {
    this.isScheduled = false;
    this.usedMs = 0;
    // A connection that waits again during its turn has the next one in a later iteration.
    for (const parse of [...this.waiting]) {
      if (!this.hasTime) break;
      this.waiting.delete(parse);
      parse();
    }
    if (this.waiting.size > 0) this.schedule();
  }
}
