import {
  getErrorMessage,
  type EventLogger,
  type TimerService,
} from '@primrosestage/common';

/** Time for which another instance may be ahead before the watch counts as stalled. */
const MAX_LAG_MS = 700;
/** Time between two reads of the registry's revision, in milliseconds. */
const READ_INTERVAL_MS = 1_000;
/** Time after a read within which a working watch returns the change, in milliseconds. */
const DELIVERY_TIMEOUT_MS = 250;

/** Configures the detection of stalled watches. */
export interface StalledWatchDetectorOptions {
  /** Returns the revision that the pending watch starts from; undefined while none is pending. */
  getPosition: () => number | undefined;
  /** Reads the revision of the registry over another connection. */
  readRevision: () => Promise<number>;
  /** Says whether this instance reads the revision on behalf of all. */
  shouldReadRevision: () => boolean;
  /** Reopens the watch. */
  reopen: () => void;
  /** Called if the registry does not answer a read. */
  handleUnavailable: (err: unknown) => void;
  timers: TimerService;
  logger: EventLogger;
}

/**
 * Detects a watch that has stalled, for example because a device on the network path has lost the
 * state of its connection. If a single watch has stalled, the revisions of other instances reveal
 * it. If all have, a read of the registry's revision does, which one instance makes for all.
 */
export class StalledWatchDetector implements AsyncDisposable {
  private behindSince?: number;
  private isReading = false;
  private readTimer?: AsyncDisposable;

  constructor(private readonly options: StalledWatchDetectorOptions) {}

  /** Starts the periodic reads. */
  start(): void {
    this.readTimer = this.options.timers.every(
      READ_INTERVAL_MS,
      () => void this.checkRegistry(),
    );
  }

  /**
   * Records how far another instance has followed the registry.
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
      await timers.sleep(DELIVERY_TIMEOUT_MS);
      // A watch that has returned in the meantime works, even if it has not caught up.
      const isStalled =
        getPosition() === positionBefore && positionBefore < revision;
      if (!isStalled) return;
      this.reopen('behind the registry', {
        revision: positionBefore,
        seen: revision,
      });
    } catch (err) {
      if (getPosition() === positionBefore) {
        this.options.logger.warn('registry watch is not confirmed', {
          reason: getErrorMessage(err),
        });
        this.options.handleUnavailable(err);
      }
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
