import type {TimerService} from '@primrosestage/common';
import type {ControlView} from '@primrosestage/steering';
import type {StartSpan} from '../telemetry/hop_span.js';
import type {DirectMetrics} from './direct_metrics.js';
import type {EndpointAgent} from './endpoint_agent.js';
import type {EndpointSelector} from './endpoint_selector.js';
import type {RepeatGate} from './repeat_gate.js';
import type {RequestLog} from './request_log.js';
import type {TurnQueue} from './turn_queue.js';
import type {WireNames} from './wire_names.js';

/** Holds what handling a request needs. */
export interface RequestExchangeOptions {
  view: ControlView;
  selector: EndpointSelector;
  repeats: RepeatGate;
  agent: EndpointAgent;
  /** Delays requests until the ends of callers' connections have been read. */
  turns: TurnQueue;
  timers: TimerService;
  names: WireNames;
  metrics: DirectMetrics;
  log: RequestLog;
  /** Opens spans; undefined where none are exported. */
  startSpan?: StartSpan;
  /** Returns a random number in [0, 1). */
  random: () => number;
}
