import type {EventLogger, TimerService} from '@primrosestage/common';
import {
  type ControlView,
  EndpointLimits,
  type MemberTable,
} from '@primrosestage/steering';
import type {DirectMetrics} from '../direct_metrics.js';
import type {DirectSettings} from '../direct_settings.js';
import {LimitCoordinator} from './limit_coordinator.js';
import {LimitTracker} from './limit_tracker.js';
import {PermitIssuer} from './permit_issuer.js';
import {type PermitMessage, PermitMessageType} from './permit_message.js';
import {RatePermits} from './rate_permits.js';

/** Dependencies of keeping to the rate limits of endpoints. */
export interface LimitControlOptions {
  settings: DirectSettings;
  view: ControlView;
  members: MemberTable;
  timers: TimerService;
  logger: EventLogger;
  metrics: DirectMetrics;
  /** Returns the monotonic time since which this instance serves callers, in milliseconds. */
  getServingSince: () => number;
  /** Sends a datagram to another instance, which may lose it. */
  send: (message: PermitMessage, address: string) => void;
  /** Tells other instances at once of a change that a response to this instance stated. */
  announce: () => void;
}

/** What keeps an instance to the rate limits of endpoints. */
export interface LimitControl {
  limits: EndpointLimits;
  tracker: LimitTracker;
  permits: RatePermits;
  /**
   * Handles a datagram of another instance.
   * @param message - The datagram.
   */
  receive: (message: PermitMessage) => void;
}

/**
 * Creates what keeps an instance to the rate limits of endpoints.
 * @param options - Settings, views and the connection to other instances.
 */
export function createLimitControl(options: LimitControlOptions): LimitControl {
  const limits = new EndpointLimits();
  const coordinator = new LimitCoordinator(options);
  const tracker = new LimitTracker({
    ...options,
    instance: options.settings.id,
    limits,
    coordinator,
  });
  const shared = {...options, limits, tracker, coordinator};
  const permits = new RatePermits(shared);
  const issuer = new PermitIssuer(shared);
  const receive = (message: PermitMessage) => {
    if (message.type === PermitMessageType.Reply) permits.receiveReply(message);
    else issuer.receiveRequest(message);
  };
  return {limits, tracker, permits, receive};
}
