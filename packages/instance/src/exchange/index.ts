export type {Answer, AttemptResult, Refusal} from './attempt_result.js';
export {ExchangeError, type ExchangeResult, FailureKind} from './exchange.js';
export {isProvenNotRun} from './is_proven_not_run.js';
export {
  PeerConnectionPool,
  type PeerConnectionPoolOptions,
} from './peer_connection_pool.js';
export type {PeerRequest} from './peer_request.js';
export {
  sendAnswer,
  type SendAnswerFailure,
  type SendAnswerOptions,
} from './send_answer.js';
export {toRefusal} from './to_refusal.js';
