export {
  createLogger,
  type Logger,
  type LoggerOptions,
} from './create_logger.js';
export {Invariant} from './invariant.js';
export {InvariantMonitor} from './invariant_monitor.js';
export {
  createTracing,
  TraceExporter,
  type Tracing,
  type TracingOptions,
} from './create_tracing.js';
export {
  createLineLogger,
  type LineLogger,
  type LineLoggerOptions,
  type WriteBytes,
} from './create_line_logger.js';
export type {EventLogger} from './event_logger.js';
