import {
  getErrorMessage,
  type EventLogger,
  type TimerService,
} from '@primrosestage/common';
import {
  type FollowerElection,
  hash32,
  type MemberInfo,
} from '@primrosestage/steering';
import type {ControlSource} from './control_source.js';

/** Lifetime of a registration, in milliseconds. */
const TTL_MS = 600_000;
/** Time between two writes of a registration, in milliseconds. */
const INTERVAL_MS = 240_000;
/** Time given to a started instance to discover others through its seeds, in milliseconds. */
export const PEER_DISCOVERY_DELAY_MS = 700;
/** Longest delay of a registration that no other instance depends on, in milliseconds. */
const SPREAD_MS = 3_000;
/** Delay of a registration that replaces the one of an earlier process, in milliseconds. */
const RENEWAL_DELAY_MS = 60_000;
/** Time between checks of whether the registration is due, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Delay after a failed registration of the first instance of a region, and of others. */
const FIRST_RETRY_MS = 1_000;
const RETRY_MS = 10_000;

/** Configures the registration of an instance. */
export interface RegistrationOptions {
  source: ControlSource;
  election: FollowerElection;
  self: () => MemberInfo;
  timers: TimerService;
  logger: EventLogger;
}

/**
 * Registers this instance in the registry. All instances do, so that after a restart of all of them
 * each counts the others before it has heard of them. The first of each region registers at once, so
 * that groups of instances that do not know each other find each other through the registry; one
 * that knows no other counts as the first of its region.
 */
export class Registration implements AsyncDisposable {
  private readonly abort = new AbortController();
  /** Ends the wait for the next registration. */
  private wait = new AbortController();
  /** Monotonic time at which this instance registers if it does not have to at once. */
  private dueAt = Infinity;
  private loop?: Promise<void>;

  /**
   * Creates the task.
   * @param options - The registry and this instance.
   */
  constructor(private readonly options: RegistrationOptions) {}

  /** Starts registering. */
  start(): void {
    this.loop = this.run();
  }

  /**
   * Records a listing, which may hold the registration of an earlier process.
   * @param infos - The listed registrations.
   */
  recordListing(infos: readonly MemberInfo[]): void {
    const {self, timers} = this.options;
    const {id} = self();
    if (infos.every(info => info.id !== id)) return;
    this.dueAt = timers.now() + RENEWAL_DELAY_MS;
  }

  /** Registers anew, since the last registration may be lost. */
  restart(): void {
    this.wait.abort();
    this.wait = new AbortController();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.abort.abort();
    this.wait.abort();
    await this.loop;
  }

  private async run(): Promise<void> {
    const {self, timers} = this.options;
    const {signal} = this.abort;
    await timers.sleep(PEER_DISCOVERY_DELAY_MS, signal);
    const spreadMs = (hash32(self().id) / 2 ** 32) * SPREAD_MS;
    if (this.dueAt === Infinity) this.dueAt = timers.now() + spreadMs;
    while (!signal.aborted) {
      if (!this.isFirst() && timers.now() < this.dueAt) {
        await timers.sleep(CHECK_INTERVAL_MS, signal);
        continue;
      }
      // Taken before the write, whose era may end before its response.
      const waitSignal = this.wait.signal;
      const delayMs = await this.register();
      await timers.sleep(delayMs, waitSignal);
    }
  }

  /** Writes the registration; returns the time until the next write, in milliseconds. */
  private async register(): Promise<number> {
    const {source, self, logger} = this.options;
    try {
      const info = self();
      const key = source.getMemberKey(info.id);
      const value = Buffer.from(JSON.stringify(info));
      await source.store.put({key, value, ttlMs: TTL_MS});
      logger.info('registered', {key});
      return INTERVAL_MS;
    } catch (err) {
      logger.warn('registration failed', {reason: getErrorMessage(err)});
      return this.isFirst() ? FIRST_RETRY_MS : RETRY_MS;
    }
  }

  private isFirst(): boolean {
    const {election, timers} = this.options;
    return election.shouldFollow(timers.now());
  }
}
