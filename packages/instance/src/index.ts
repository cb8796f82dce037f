export {main} from './cli/main.js';
export {serve} from './serve.js';
export {RoutingTask, type RoutingTaskOptions} from './routing/index.js';
export {AttemptOutcome} from './direct/send/attempt.js';
export type {DirectSettings} from './direct/direct_settings.js';
export {
  BeginResult,
  EndpointSelector,
  type SelectionRequest,
} from './direct/place/endpoint_selector.js';
export {observeAttempt} from './direct/send/observe_attempt.js';
export {
  createLimitControl,
  type LimitControl,
} from './direct/limits/create_limit_control.js';
export {createDirectMetrics} from './direct/direct_metrics.js';
