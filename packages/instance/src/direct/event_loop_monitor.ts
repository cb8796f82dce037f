import type {EventLogger, TimerService} from '@primrosestage/common';
import type {DirectMetrics} from './direct_metrics.js';

/** Interval at which the event loop is checked, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Delay from which on a line is logged, in milliseconds. */
const LOG_DELAY_MS = 500;

/** Configures the monitor. */
export interface EventLoopMonitorOptions {
  timers: TimerService;
  logger: EventLogger;
  metrics: DirectMetrics;
  /** Returns the number of connections of callers that have been accepted since the start. */
  getAcceptedConnections: () => number;
}

/**
 * Measures by how much timers are late. While the event loop is delayed, the instance accepts no
 * connection and answers nothing, although a health check before may have said that it is ready.
 */
export class EventLoopMonitor implements AsyncDisposable {
  private readonly subscription: AsyncDisposable;
  private dueAt: number;
  private accepted = 0;

  /**
   * Starts the monitor.
   * @param options - Clock, log and metrics.
   */
  constructor(private readonly options: EventLoopMonitorOptions) {
    const {timers} = options;
    this.dueAt = timers.now() + CHECK_INTERVAL_MS;
    this.subscription = timers.every(CHECK_INTERVAL_MS, () => this.check());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.subscription[Symbol.asyncDispose]();
  }

  private check(): void {
    const {timers, logger, metrics, getAcceptedConnections} = this.options;
    const now = timers.now();
    const delayMs = Math.max(0, now - this.dueAt);
    const accepted = getAcceptedConnections();
    this.dueAt = now + CHECK_INTERVAL_MS;
    metrics.eventLoopDelaySeconds.observe(delayMs / 1_000);
    if (delayMs >= LOG_DELAY_MS) {
      logger.warn('event loop delayed', {
        ms: Math.round(delayMs),
        accepted: accepted - this.accepted,
      });
    }
    this.accepted = accepted;
  }
}
