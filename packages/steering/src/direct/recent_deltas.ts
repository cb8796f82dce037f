import type {ConfigurationDelta} from './configuration_delta.js';

/** Time for which a change is sent unsolicited, in milliseconds. */
const FORWARD_MS = 3_000;
/** Limit on the characters of the changes in a message; others pull what does not fit. */
const MAX_CHARS = 8_000;

interface RecentDelta {
  delta: ConfigurationDelta;
  chars: number;
  addedAt: number;
}

/**
 * Keeps the latest changes of the configuration, each of which leads on from the one before, so that
 * an instance that has missed some can follow.
 */
export class RecentDeltas {
  private readonly recent: RecentDelta[] = [];

  /**
   * Adds a change that has led to the configuration in force.
   * @param delta - The change.
   * @param now - Monotonic time in milliseconds.
   */
  add(delta: ConfigurationDelta, now: number): void {
    const last = this.recent.at(-1);
    if (last && last.delta.version !== delta.since) this.recent.length = 0;
    const chars = JSON.stringify(delta).length;
    this.recent.push({delta, chars, addedAt: now});
    while (this.getChars() > MAX_CHARS) this.recent.shift();
  }

  /**
   * Returns the changes to send, earliest first.
   * @param now - Monotonic time in milliseconds.
   */
  get(now: number): ConfigurationDelta[] {
    while (this.isOver(this.recent[0], now)) this.recent.shift();
    return this.recent.map(({delta}) => delta);
  }

  private isOver(oldest: RecentDelta | undefined, now: number): boolean {
    return oldest !== undefined && now - oldest.addedAt >= FORWARD_MS;
  }

  private getChars(): number {
    return this.recent.reduce((sum, {chars}) => sum + chars, 0);
  }
}
