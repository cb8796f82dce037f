import type {EventLogger, TimerService} from '@primrosestage/common';
import type {ControlView} from '@primrosestage/steering';

/** Configures the end of grace periods. */
export interface ViewExpiryOptions {
  view: ControlView;
  timers: TimerService;
  logger: EventLogger;
}

/** Ends the grace periods of endpoints and evacuations. */
export class ViewExpiry implements Disposable {
  private timer?: Disposable;

  /**
   * Creates the task, which runs when it is called or scheduled.
   * @param options - The view whose entries expire.
   */
  constructor(private readonly options: ViewExpiryOptions) {}

  /** Ends the grace periods that are over, and logs what has expired. */
  run(): void {
    const {view, timers, logger} = this.options;
    const {endpoints, evacuations} = view.expire(timers.now());
    for (const id of endpoints) {
      logger.info('endpoint changed', {endpoint: id, effect: 'expired'});
    }
    for (const change of evacuations) {
      logger.info('evacuation changed', {...change, from: 'grace period'});
    }
  }

  /**
   * Runs at the end of the next grace period of an endpoint, since it may have left all the same and
   * must not be used until a periodic run.
   */
  schedule(): void {
    const {view, timers} = this.options;
    this.timer?.[Symbol.dispose]();
    const {nextExpiryAt} = view.endpointTable;
    if (nextExpiryAt === Infinity) return;
    const delayMs = Math.max(0, nextExpiryAt - timers.now());
    this.timer = timers.after(delayMs, () => {
      this.run();
      this.schedule();
    });
  }

  [Symbol.dispose](): void {
    this.timer?.[Symbol.dispose]();
  }
}
