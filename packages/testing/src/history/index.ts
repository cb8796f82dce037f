export {
  type EndpointDrain,
  type Finding,
  FindingKind,
  formatTime,
  RequestHistory,
  type CheckContext,
  type HistorySummary,
  type PlannedStop,
} from './request_history.js';
export {
  type AttemptRecord,
  AttemptResult,
  RunEnd,
  type RunRecord,
} from './records.js';
