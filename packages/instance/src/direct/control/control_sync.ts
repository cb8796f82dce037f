import {
  getErrorMessage,
  type EventLogger,
  type TimerService,
} from '@primrosestage/common';
import {
  RegistryError,
  RegistryFault,
  type RegistryItem,
  type RegistryItems,
} from '@primrosestage/control';
import {
  type ControlChanges,
  type ControlView,
  FollowerElection,
  getEra,
  hash32,
  type MemberInfo,
  type MemberTable,
} from '@primrosestage/steering';
import type {ControlSource, DecodedItem} from './control_source.js';
import type {DirectMetrics} from '../direct_metrics.js';
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
/** Lifetime of this instance's registration, in milliseconds. */
const REGISTRATION_TTL_MS = 600_000;
const REGISTRATION_INTERVAL_MS = 240_000;
/** Time given to a started instance to discover others through its seeds, in milliseconds. */
const PEER_DISCOVERY_DELAY_MS = 700;
const REGISTRATION_CHECK_INTERVAL_MS = 500;
/** Time for which a watch must have been pending to count as one that the registry accepts. */
const ACCEPTED_WATCH_MS = 1_000;
/**
 * Shortest outage in which the registration of a live endpoint can lapse, in milliseconds: less than
 * two of the intervals at which endpoints write.
 */
const MIN_LAPSE_OUTAGE_MS = 2_000;
/** Longest delay of a registration that no other instance depends on, in milliseconds. */
const REGISTRATION_SPREAD_MS = 3_000;
/** Delay of a registration that replaces the one of an earlier process, in milliseconds. */
const RENEWAL_DELAY_MS = 60_000;
/** Longest backoff of such a registration while the registry is unavailable, in milliseconds. */
const MAX_REGISTRATION_BACKOFF_MS = 10_000;

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
  /** Ends the wait for the next registration, since a later era lacks the last one. */
  private registrationWait = new AbortController();
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
  /** Monotonic time at which this instance registers if it does not have to at once. */
  private registrationDueAt = Infinity;
  /** Time since which another instance follows the registry in place of this one. */
  private redundantSince = Infinity;
  /** Consecutive watches that returned at once. */
  private immediateWatches = 0;
  private roleChecks?: AsyncDisposable;
  private readonly loops: Array<Promise<void>> = [];
  private readonly election: FollowerElection;
  private readonly stallDetector: StalledWatchDetector;

  constructor(private readonly options: ControlSyncOptions) {
    const {members, timers, logger, isSystemStart} = options;
    this.isDiscoveringPeers = isSystemStart;
    this.election = new FollowerElection(members);
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
    this.loops.push(this.follow(), this.register());
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
    this.registrationWait.abort();
    await Promise.all(this.loops);
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
    if (!isNew) return;
    this.registrationWait.abort();
    this.registrationWait = new AbortController();
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
    return !members.getLive(now).some(({id, isFollowing}) => {
      return isFollowing && id !== members.getSelf().id;
    });
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

  private apply({items, revision}: RegistryItems, isFull: boolean): void {
    const {members, self, timers, logger} = this.options;
    const changes: ControlChanges = {
      revision,
      isFull,
      isFromRegistry: true,
      endpoints: [],
      evacuations: [],
    };
    const registrations: MemberInfo[] = [];
    for (const item of items) {
      const decoded = this.decode(item);
      if (!decoded) continue;
      if (decoded.fault !== undefined) {
        logger.warn('registry item ignored', {
          key: item.key,
          revision: item.revision,
          fault: decoded.fault,
        });
      }
      if (decoded.configuration) changes.configuration = decoded.configuration;
      if (decoded.endpoint) changes.endpoints.push(decoded.endpoint);
      if (decoded.evacuation) changes.evacuations.push(decoded.evacuation);
      if (decoded.member) registrations.push(decoded.member);
    }
    members.addRegistered(registrations, timers.now());
    if (isFull && registrations.some(({id}) => id === self().id)) {
      this.registrationDueAt = timers.now() + RENEWAL_DELAY_MS;
    }
    this.options.apply(changes, 'registry');
  }

  /** An item that cannot be decoded must not keep this instance from following the others. */
  private decode(item: RegistryItem): DecodedItem | undefined {
    try {
      return this.options.source.decode(item);
    } catch (err) {
      return {fault: getErrorMessage(err)};
    }
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

  /**
   * Says whether this instance should register. All instances do, so that after a restart of all of
   * them each counts the others before it has heard of them. The first of each region registers at
   * once, so that groups of instances that do not know each other find each other through the
   * registry. An instance that knows no other counts as the first of its region.
   */
  private isRegistrationDue(): boolean {
    const now = this.options.timers.now();
    return now >= this.registrationDueAt || this.election.shouldFollow(now);
  }

  /** Says how long to wait after a failed registration. */
  private getRegistrationBackoffMs(): number {
    const isFirst = this.election.shouldFollow(this.options.timers.now());
    return isFirst ? MAX_BACKOFF_MS : MAX_REGISTRATION_BACKOFF_MS;
  }

  private async register(): Promise<void> {
    const {source, self, timers, logger} = this.options;
    const {signal} = this.abort;
    await timers.sleep(PEER_DISCOVERY_DELAY_MS, signal);
    const spreadMs = (hash32(self().id) / 2 ** 32) * REGISTRATION_SPREAD_MS;
    if (this.registrationDueAt === Infinity) {
      this.registrationDueAt = timers.now() + spreadMs;
    }
    while (!signal.aborted) {
      if (!this.isRegistrationDue()) {
        await timers.sleep(REGISTRATION_CHECK_INTERVAL_MS, signal);
        continue;
      }
      let delayMs = REGISTRATION_INTERVAL_MS;
      // Taken before the write, whose era may end before its response.
      const waitSignal = this.registrationWait.signal;
      try {
        const info = self();
        await source.store.put({
          key: source.getMemberKey(info.id),
          value: Buffer.from(JSON.stringify(info)),
          ttlMs: REGISTRATION_TTL_MS,
        });
        logger.info('registered', {key: source.getMemberKey(info.id)});
      } catch (err) {
        logger.warn('registration failed', {reason: getErrorMessage(err)});
        delayMs = this.getRegistrationBackoffMs();
      }
      await timers.sleep(delayMs, waitSignal);
    }
  }
}

function getFault(err: unknown): RegistryFault | undefined {
  return err instanceof RegistryError ? err.fault : undefined;
}
