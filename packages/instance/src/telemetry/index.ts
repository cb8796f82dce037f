export {
  type HopSpan,
  type HopSpanOptions,
  startHopSpan,
  type StartSpan,
} from './hop_span.js';
export {RequestMetrics, type ServiceLabels} from './request_metrics.js';
export {type Percentiles, ServiceTimes} from './service_times.js';
