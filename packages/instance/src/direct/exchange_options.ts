import type {TimerService} from '@primrosestage/common';
import type {ControlView, StopSchedule} from '@primrosestage/steering';
import type {StartSpan} from '../telemetry/hop_span.js';
import type {BodyBuffers} from './body_buffers.js';
import type {DirectMetrics} from './direct_metrics.js';
import type {EndpointAgent} from './endpoint_agent.js';
import type {EndpointSelector} from './endpoint_selector.js';
import type {NoticeTracker} from './notice_tracker.js';
import type {LimitTracker} from './limit_tracker.js';
import type {RatePermits} from './rate_permits.js';
import type {RetryBudgets} from './retry_budgets.js';
import type {RequestLog} from './request_log.js';
import type {RequestStartQueue} from './request_start_queue.js';
import type {WireNames} from './wire_names.js';

/** Dependencies of handling a request. */
export interface RequestExchangeOptions {
  view: ControlView;
  selector: EndpointSelector;
  limitTracker: LimitTracker;
  permits: RatePermits;
  noticeTracker: NoticeTracker;
  retryBudgets: RetryBudgets;
  agent: EndpointAgent;
  /** Memory for the bodies of all requests. */
  bodyBuffers: BodyBuffers;
  /** Delays the start of requests until closed connections of callers have been detected. */
  startQueue: RequestStartQueue;
  timers: TimerService;
  names: WireNames;
  metrics: DirectMetrics;
  log: RequestLog;
  /** Returns the times of the planned stop; undefined unless the instance is stopping. */
  getStopSchedule: () => StopSchedule | undefined;
  /** Starts spans; undefined if tracing is off. */
  startSpan?: StartSpan;
  /** Returns a random number in [0, 1). */
  random: () => number;
}
