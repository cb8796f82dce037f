export {
  type EndpointDrain,
  type Finding,
  FindingKind,
  formatTime,
  Ledger,
  type LedgerContext,
  type LedgerSummary,
  type PlannedStop,
} from './ledger.js';
export {
  type AttemptRecord,
  AttemptResult,
  RunEnd,
  type RunRecord,
} from './records.js';
