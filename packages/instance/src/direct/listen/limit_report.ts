import type {EventLogger, TimerService} from '@primrosestage/common';
import type {CloseReason} from '@primrosestage/steering';
import type {DirectMetrics} from '../direct_metrics.js';

/** Interval of the log lines about limits that were reached, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Counts and logs what was closed or refused because of the limits of the machine. */
export class LimitReport implements AsyncDisposable {
  private readonly counts = new Map<string, number>();
  private readonly accepted = new Map<string, number>();
  private readonly subscription: AsyncDisposable;

  /**
   * Starts reporting.
   * @param logger - Receives at most one line a second.
   * @param metrics - Receives the counts.
   * @param timers - The clock.
   */
  constructor(
    private readonly logger: EventLogger,
    private readonly metrics: DirectMetrics,
    timers: TimerService,
  ) {
    this.subscription = timers.every(LOG_INTERVAL_MS, () => this.write());
  }

  /** Counts a closed connection of a listener. */
  countClosed(listener: string, reason: CloseReason): void {
    this.metrics.closedConnections.inc({listener, reason});
    this.count(`${listener}-${reason}`);
  }

  /** Counts a request that was refused without having been started. */
  countRefused(): void {
    this.count('refused');
  }

  /** Counts a connection that a listener has accepted. */
  countAccepted(listener: string): void {
    this.metrics.acceptedConnections.inc({listener});
    this.accepted.set(listener, this.getAccepted(listener) + 1);
  }

  /** Returns the number of connections that a listener has accepted since the start. */
  getAccepted(listener: string): number {
    return this.accepted.get(listener) ?? 0;
  }

  /** Sets the number of open connections of a listener. */
  setConnections(listener: string, connections: number): void {
    this.metrics.connections.set({listener}, connections);
  }

  [Symbol.asyncDispose](): PromiseLike<void> {
    return this.subscription[Symbol.asyncDispose]();
  }

  private count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  private write(): void {
    if (this.counts.size === 0) return;
    this.logger.warn('limits reached', Object.fromEntries(this.counts));
    this.counts.clear();
  }
}
