import type {EventLogger, TimerService} from '@primrosestage/common';
import type {DirectMetrics} from '../direct_metrics.js';

/** Time for which a newer version is known and not in force before it is logged, in milliseconds. */
const LOG_AFTER_MS = 1_000;
/** Minimum time between two log lines about the same version, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Configures the observation of configurations that are late. */
export interface ConfigurationLagOptions {
  /** Returns the version in force; 0 if there is none. */
  getVersion: () => number;
  /** Returns whether this instance follows the registry itself. */
  isFollowing: () => boolean;
  timers: TimerService;
  logger: EventLogger;
  metrics: DirectMetrics;
}

/** A version that another instance has and this one lacks. */
interface MissingVersion {
  version: number;
  /** Id of the instance from which it was heard of first. */
  from: string;
  seenAt: number;
  loggedAt: number;
}

/**
 * Observes for how long this instance lacks a configuration that another one has. Tells a change
 * that has not been heard of from one that was heard of and has not been received.
 */
export class ConfigurationLag {
  private missing?: MissingVersion;

  /**
   * Creates the observation.
   * @param options - The version in force, and where lags are reported.
   */
  constructor(private readonly options: ConfigurationLagOptions) {}

  /**
   * Returns for how long a newer version has been known and not been in force, in milliseconds.
   * @param now - Monotonic time in milliseconds.
   */
  getLagMs(now: number): number {
    return this.missing ? now - this.missing.seenAt : 0;
  }

  /**
   * Records the version that another instance states.
   * @param version - Its version.
   * @param from - Id of the instance.
   */
  recordSeen(version: number, from: string): void {
    if (version <= this.options.getVersion() || this.missing) return;
    const seenAt = this.options.timers.now();
    this.missing = {version, from, seenAt, loggedAt: -Infinity};
  }

  /** Ends the lag once the version is in force, and reports one that lasts. */
  update(): void {
    const {getVersion, isFollowing, timers, logger, metrics} = this.options;
    const {missing} = this;
    const now = timers.now();
    const lagMs = this.getLagMs(now);
    if (missing && getVersion() >= missing.version) this.missing = undefined;
    metrics.configurationLagSeconds.set(this.getLagMs(now) / 1_000);
    if (!missing || lagMs < LOG_AFTER_MS) return;
    const isOver = this.missing === undefined;
    if (!isOver && now - missing.loggedAt < LOG_INTERVAL_MS) return;
    missing.loggedAt = now;
    logger.warn(isOver ? 'configuration was late' : 'configuration is late', {
      version: missing.version,
      inForce: getVersion(),
      from: missing.from,
      lagMs: Math.round(lagMs),
      isFollowing: isFollowing(),
    });
  }
}
