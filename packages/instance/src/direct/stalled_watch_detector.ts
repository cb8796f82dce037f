import {
  getErrorMessage,
  type EventLogger,
  type TimerService,
} from '@primrosestage/common';

/** Time for which another instance may be ahead before the watch counts as silent. */
const MAX_LAG_MS = 700;
/** Time between two reads of the registry's revision, in milliseconds. */
const READ_INTERVAL_MS = 1_000;
/** Time after a read in which a watch that works has returned the change, in milliseconds. */
const DELIVERY_TIMEOUT_MS = 250;

/** Holds what guarding a watch needs. */
export interface StalledWatchDetectorOptions {
  /** Returns the revision up to which the watch has returned; undefined while none waits. */
  getPosition: () => number | undefined;
  /** Reads the revision of the registry on another connection. */
  readRevision: () => Promise<number>;
  /** Says whether this instance reads the revision for all others. */
  shouldReadRevision: () => boolean;
  /** Opens the watch again. */
  reopen: () => void;
  timers: TimerService;
  logger: EventLogger;
}

/**
 * Notices a watch that has fallen silent, as a connection does whose state was lost between its
 * ends. The revisions of others show it where one watch is silent; where all are, a read of the
 * registry's revision does, which one instance makes for all.
 */
export class StalledWatchDetector implements AsyncDisposable {
  private behindSince?: number;
  /** Whether the last read had no answer; a registry that is down must not end watches. */
  private hasReadFailed = false;
  private isReading = false;
  private readTimer?: AsyncDisposable;

  constructor(private readonly options: StalledWatchDetectorOptions) {}

  /** Starts the reads. */
  start(): void {
    this.readTimer = this.options.timers.every(
      READ_INTERVAL_MS,
      () => void this.checkRegistry(),
    );
  }

  /**
   * Takes over how far another instance has followed the registry.
   * @param revision - The other instance's revision.
   */
  recordPeerRevision(revision: number): void {
    const position = this.options.getPosition();
    if (position === undefined || revision <= position) {
      this.behindSince = undefined;
      return;
    }
    const now = this.options.timers.now();
    this.behindSince ??= now;
    if (now - this.behindSince < MAX_LAG_MS) return;
    this.reopen('behind other instances', {revision: position, seen: revision});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.readTimer?.[Symbol.asyncDispose]();
  }

  private async checkRegistry(): Promise<void> {
    const {getPosition, shouldReadRevision, readRevision, timers} =
      this.options;
    const positionBefore = getPosition();
    if (this.isReading || !shouldReadRevision() || positionBefore === undefined)
      return;
    this.isReading = true;
    try {
      const revision = await readRevision();
      this.hasReadFailed = false;
      await timers.sleep(DELIVERY_TIMEOUT_MS);
      // A watch that has returned meanwhile works, even where it has not caught up.
      const isStalled =
        getPosition() === positionBefore && positionBefore < revision;
      if (!isStalled) return;
      this.reopen('behind the registry', {
        revision: positionBefore,
        seen: revision,
      });
    } catch (err) {
      if (!this.hasReadFailed) {
        this.reopen('not confirmed', {reason: getErrorMessage(err)});
      }
      this.hasReadFailed = true;
    } finally {
      this.isReading = false;
    }
  }

  private reopen(state: string, fields: object): void {
    this.options.logger.warn(`registry watch is ${state}`, {
      ...fields,
      outcome: 'opened again',
    });
    this.behindSince = undefined;
    this.options.reopen();
  }
}
