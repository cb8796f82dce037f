import type {ControlView, EndpointLimits} from '@primrosestage/steering';
import type {LimitCoordinator} from './limit_coordinator.js';
import type {LimitTracker} from './limit_tracker.js';
import {PermitEvent} from './permit_event.js';
import {
  PermitMessageType,
  type PermitReply,
  type PermitRequest,
} from './permit_message.js';

/** Time until another try if this instance cannot decide, in milliseconds. */
const UNDECIDED_RETRY_MS = 300;

/** Configures the issuing of permits to other instances. */
export interface PermitIssuerOptions {
  view: ControlView;
  limits: EndpointLimits;
  tracker: LimitTracker;
  coordinator: LimitCoordinator;
  /** Sends a datagram to another instance, which may lose it. */
  send: (reply: PermitReply, address: string) => void;
}

/** Issues permits for limited endpoints to the instances that ask for them. */
export class PermitIssuer {
  constructor(private readonly options: PermitIssuerOptions) {}

  /**
   * Handles a request of another instance.
   * @param request - The request.
   */
  receiveRequest(request: PermitRequest): void {
    const {tracker, send} = this.options;
    const {number, limit, replyAddress} = request;
    tracker.merge([limit]);
    const reply = {
      type: PermitMessageType.Reply as const,
      number,
      endpoint: limit.id,
      ...this.decide(request),
    };
    send(reply, replyAddress);
  }

  private decide({
    max,
    limit: {id, bornAt},
  }: PermitRequest): Pick<PermitReply, 'granted' | 'retryAfterMs'> {
    const {view, limits, tracker, coordinator} = this.options;
    const entry = view.endpointTable.get(id)?.entry;
    const latest = limits.getLatest(id);
    const undecided = {granted: 0, retryAfterMs: UNDECIDED_RETRY_MS};
    if (entry?.bornAt !== bornAt || latest?.bornAt !== bornAt) return undecided;
    const {perSecond} = latest;
    // The limit has ended, which the response to the request will show the other instance.
    if (perSecond === undefined) return {granted: 1, retryAfterMs: 0};
    if (!coordinator.isCoordinator(entry)) return undecided;
    const granted = coordinator.issue(max, entry, perSecond);
    if (granted === 0) {
      const retryAfterMs = coordinator.getWaitMs(entry, perSecond);
      return {granted, retryAfterMs};
    }
    tracker.countPermits(id, PermitEvent.Issued, granted);
    return {granted, retryAfterMs: 0};
  }
}
