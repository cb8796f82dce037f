import {
  getErrorMessage,
  type EventLogger,
  type TimerService,
} from '@primrosestage/common';
import {
  RegistryError,
  RegistryFault,
  type RegistryItems,
} from '@primrosestage/control';
import {
  type ControlChanges,
  type ControlView,
  FollowerElection,
  getEra,
  type MemberInfo,
  type MemberTable,
} from '@primrosestage/steering';
import type {ControlSource} from './control_source.js';
import {decodeItems} from './decode_items.js';
import type {DirectMetrics} from '../direct_metrics.js';
import {PEER_DISCOVERY_DELAY_MS, Registration} from './registration.js';
import {StalledWatchDetector} from './stalled_watch_detector.js';

/** First and longest backoff after a failed call, in milliseconds. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;
/** Delay between watches, which batches changes made close together; each call is charged for. */
const WATCH_DELAY_MS = 80;
/** The same while changes are so frequent that each watch returns at once. */
const BUSY_WATCH_DELAY_MS = 250;
/** Consecutive watches that returned at once after which changes count as frequent. */
const BUSY_WATCH_COUNT = 3;
/** Duration below which a watch counts as having returned at once, in milliseconds. */
const IMMEDIATE_WATCH_MS = 150;
/** Longest backoff of a standby, which other instances of its region precede, in milliseconds. */
const MAX_STANDBY_BACKOFF_MS = 3_000;
/** First instances of a region, which keep a short backoff while the registry is unavailable. */
const SHORT_BACKOFF_INSTANCES = 2;
/** Time between checks of whether this instance should follow the registry, in milliseconds. */
const ROLE_CHECK_INTERVAL_MS = 100;
/** Time for which another instance must follow before this one stops, in milliseconds. */
const STOP_FOLLOWING_AFTER_MS = 1_000;
/** Duration from which a watch counts as one that the registry has accepted, in milliseconds. */
const ACCEPTED_WATCH_MS = 1_000;
/**
 * Shortest outage in which the registration of a live endpoint can lapse, in milliseconds: less than
 * two of the intervals at which endpoints write.
 */
const MIN_LAPSE_OUTAGE_MS = 2_000;

/** Configures the synchronization with the registry. */
export interface ControlSyncOptions {
  source: ControlSource;
  view: ControlView;
  members: MemberTable;
  self: () => MemberInfo;
  /** Whether the whole system starts for the first time, with all instances together. */
  isSystemStart: boolean;
  timers: TimerService;
  logger: EventLogger;
  metrics: DirectMetrics;
  /** Applies changes to the view, and logs and counts them. */
  apply: (changes: ControlChanges, from: string) => void;
}

/**
 * Follows the registry: lists once, then watches. While the registry is unavailable, this instance
 * keeps its last view and receives changes from other instances.
 */
export class ControlSync implements AsyncDisposable {
  private readonly abort = new AbortController();
  private watchAbort?: AbortController;
  /** Revision up to which this instance has followed the registry itself. */
  private position?: number;
  /** Era of the last listing. */
  private era?: number;
  /** Delays the first watch at a system start, so that not every instance opens one. */
  private isDiscoveringPeers: boolean;
  private isRegistryLost = false;
  /**
   * Whether the registry must answer a read before the next watch. A watch that is pending shows
   * neither that the registry is available nor that it is not.
   */
  private isConfirmationDue = false;
  /** Consecutive watches that have failed although the registry answered a read before. */
  private failedWatches = 0;
  /** Monotonic time at which the registry last answered this instance, in milliseconds. */
  private answeredAt = -Infinity;
  private isReopening = false;
  private isFollower = false;
  /** Time since which another instance follows the registry in place of this one. */
  private redundantSince = Infinity;
  /** Consecutive watches that returned at once. */
  private immediateWatches = 0;
  private roleChecks?: AsyncDisposable;
  private loop?: Promise<void>;
  private readonly election: FollowerElection;
  private readonly stallDetector: StalledWatchDetector;
  private readonly registration: Registration;

  constructor(private readonly options: ControlSyncOptions) {
    const {members, timers, logger, isSystemStart} = options;
    this.isDiscoveringPeers = isSystemStart;
    this.election = new FollowerElection(members);
    this.registration = new Registration({
      ...options,
      election: this.election,
    });
    this.stallDetector = new StalledWatchDetector({
      getPosition: () => (this.watchAbort ? this.position : undefined),
      readRevision: () => this.readRevision(),
      shouldReadRevision: () =>
        this.isFollowing && this.election.isFirstFollower(timers.now()),
      reopen: () => {
        this.isConfirmationDue = true;
        this.endWatch();
      },
      handleUnavailable: err => {
        // A registry that has lost its history answers; the next read shows it again.
        if (getFault(err) === RegistryFault.HistoryLost) {
          this.isConfirmationDue = true;
        } else this.markRegistryLost(err);
        this.endWatch();
      },
      timers,
      logger,
    });
  }

  /** Whether this instance follows the registry and can reach it. */
  get isFollowing(): boolean {
    return this.isFollower && !this.isRegistryLost;
  }

  /** Starts following the registry and registering this instance. */
  start(): void {
    this.loop = this.follow();
    this.registration.start();
    this.roleChecks = this.options.timers.every(ROLE_CHECK_INTERVAL_MS, () => {
      if (this.watchAbort && !this.updateRole()) this.endWatch();
    });
    this.stallDetector.start();
  }

  /**
   * Records how far another instance has followed the registry.
   * @param revision - The other instance's revision.
   */
  recordPeerRevision(revision: number): void {
    this.stallDetector.recordPeerRevision(revision);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.stallDetector[Symbol.asyncDispose]();
    await this.roleChecks?.[Symbol.asyncDispose]();
    this.abort.abort();
    this.watchAbort?.abort();
    await this.registration[Symbol.asyncDispose]();
    await this.loop;
  }

  /** Aborts the pending watch without treating the registry as lost. */
  private endWatch(): void {
    this.isReopening = true;
    this.watchAbort?.abort();
  }

  private async follow(): Promise<void> {
    let backoffMs = INITIAL_BACKOFF_MS;
    const {signal} = this.abort;
    while (!signal.aborted) {
      if (this.position !== undefined && !this.updateRole()) {
        await this.options.timers.sleep(ROLE_CHECK_INTERVAL_MS, signal);
        continue;
      }
      try {
        this.position =
          this.position === undefined
            ? await this.list()
            : await this.confirmAndWatch(this.position);
        backoffMs = INITIAL_BACKOFF_MS;
        await this.delayNextWatch(signal);
      } catch (err) {
        if (signal.aborted) return;
        if (getFault(err) === RegistryFault.HistoryLost) {
          this.options.logger.warn('registry history lost', {
            revision: this.position,
            reason: getErrorMessage(err),
            outcome: 'list again',
          });
          this.isReopening = false;
          // A listing that fails in this way, while the era changes, is not repeated at once.
          if (this.position === undefined) {
            await this.options.timers.sleep(backoffMs, signal);
            backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
          }
          this.position = undefined;
          continue;
        }
        if (this.isReopening) {
          this.isReopening = false;
          continue;
        }
        if (this.isWatchCut()) this.isConfirmationDue = true;
        else this.markRegistryLost(err);
        await this.options.timers.sleep(backoffMs, signal);
        backoffMs = Math.min(this.getMaxBackoffMs(), backoffMs * 2);
      }
    }
  }

  private async delayNextWatch(signal: AbortSignal): Promise<void> {
    const {timers} = this.options;
    if (this.isDiscoveringPeers) {
      this.isDiscoveringPeers = false;
      await timers.sleep(PEER_DISCOVERY_DELAY_MS, signal);
      this.isFollower = this.election.shouldFollow(timers.now());
      return;
    }
    const isBusy = this.immediateWatches >= BUSY_WATCH_COUNT;
    await timers.sleep(isBusy ? BUSY_WATCH_DELAY_MS : WATCH_DELAY_MS, signal);
  }

  /**
   * Spares the registry the retries of a whole region: the first instance that reaches it sends
   * the changes to the others. An instance without a view cannot rely on that and keeps trying.
   */
  private getMaxBackoffMs(): number {
    const {timers, view} = this.options;
    const isStandby =
      view.isComplete &&
      this.election.getRegionRank(timers.now()) >= SHORT_BACKOFF_INSTANCES;
    return isStandby ? MAX_STANDBY_BACKOFF_MS : MAX_BACKOFF_MS;
  }

  /** Follows if no other instance of the region does; stops once another has for some time. */
  private updateRole(): boolean {
    const {timers, logger} = this.options;
    const now = timers.now();
    if (this.election.shouldFollow(now)) {
      this.redundantSince = Infinity;
      if (!this.isFollower) {
        logger.info('following registry');
        this.isConfirmationDue = true;
      }
      this.isFollower = true;
      return true;
    }
    if (this.redundantSince === Infinity) this.redundantSince = now;
    if (now - this.redundantSince >= STOP_FOLLOWING_AFTER_MS) {
      if (this.isFollower) {
        logger.info('no longer following registry');
        // Another instance follows it, so that an outage has ended for all.
        this.markRegistryAvailable();
      }
      this.isFollower = false;
    }
    return this.isFollower;
  }

  private async list(): Promise<number> {
    const {source, timers} = this.options;
    const listed = await source.store.list(source.prefix);
    this.markRegistryAvailable();
    this.isFollower = true;
    this.answeredAt = timers.now();
    this.apply(listed, true);
    this.handleEra(getEra(listed.revision));
    return listed.revision;
  }

  /** Registers this instance anew in a new era, which may lack its registration. */
  private handleEra(era: number): void {
    const isNew = this.era !== undefined && this.era !== era;
    this.era = era;
    if (isNew) this.registration.restart();
  }

  private async confirmAndWatch(after: number): Promise<number> {
    if (this.isConfirmationDue) {
      const mayHaveLapsed = this.failedWatches > 0 && this.mayHideOutage();
      await this.readRevision();
      if (mayHaveLapsed) {
        this.options.view.endpointTable.markRegistryUnavailable();
      }
      this.markRegistryAvailable();
    }
    return this.watch(after);
  }

  private async readRevision(): Promise<number> {
    const {source, timers} = this.options;
    const revision = await source.store.readRevision();
    this.answeredAt = timers.now();
    return revision;
  }

  /** Says whether only a watch has failed, which shows nothing of the registry; a read does. */
  private isWatchCut(): boolean {
    const isWatch = this.position !== undefined && !this.isConfirmationDue;
    return isWatch && this.failedWatches <= 1;
  }

  /**
   * Says whether the registry may have been unavailable, unnoticed by a pending watch, for so long
   * that registrations have lapsed. The first follower of all regions reads from it every second
   * and no longer follows if that fails.
   */
  private mayHideOutage(): boolean {
    const {members, timers} = this.options;
    const now = timers.now();
    if (now - this.answeredAt < MIN_LAPSE_OUTAGE_MS) return false;
    const {id} = members.getSelf();
    return !members
      .getLive(now)
      .some(other => other.isFollowing && other.id !== id);
  }

  private async watch(after: number): Promise<number> {
    const {source, timers} = this.options;
    const watchAbort = new AbortController();
    this.watchAbort = watchAbort;
    const startedAt = timers.now();
    try {
      const changed = await source.store.watch(
        source.prefix,
        after,
        watchAbort.signal,
      );
      const isImmediate = timers.now() - startedAt < IMMEDIATE_WATCH_MS;
      this.immediateWatches = isImmediate ? this.immediateWatches + 1 : 0;
      this.failedWatches = 0;
      this.answeredAt = timers.now();
      this.markRegistryAvailable();
      this.apply(changed, false);
      return Math.max(after, changed.revision);
    } catch (err) {
      if (!watchAbort.signal.aborted) {
        const wasAccepted = timers.now() - startedAt >= ACCEPTED_WATCH_MS;
        this.failedWatches = wasAccepted ? 1 : this.failedWatches + 1;
      }
      throw err;
    } finally {
      this.watchAbort = undefined;
    }
  }

  private apply(read: RegistryItems, isFull: boolean): void {
    const {members, timers} = this.options;
    const {changes, registrations} = decodeItems(read, isFull, this.options);
    members.addRegistered(registrations, timers.now());
    if (isFull) this.registration.recordListing(registrations);
    this.options.apply(changes, 'registry');
  }

  private markRegistryLost(err: unknown): void {
    const {view, logger} = this.options;
    view.endpointTable.markRegistryUnavailable();
    this.isConfirmationDue = true;
    if (this.isRegistryLost) return;
    this.isRegistryLost = true;
    logger.warn('registry lost', {
      reason: getErrorMessage(err),
      fault: getFault(err),
      revision: view.revision,
    });
  }

  private markRegistryAvailable(): void {
    const {view, logger, timers} = this.options;
    if (this.isRegistryLost) {
      logger.info('registry regained', {revision: view.revision});
    }
    this.isRegistryLost = false;
    this.isConfirmationDue = false;
    view.endpointTable.markRegistryAvailable(timers.now());
  }
}

function getFault(err: unknown): RegistryFault | undefined {
  return err instanceof RegistryError ? err.fault : undefined;
}
