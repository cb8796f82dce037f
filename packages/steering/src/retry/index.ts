export {
  decideRetry,
  type FailedAttempt,
  type RetryDecision,
  RetryObstacle,
} from './decide_retry.js';
export {getHedgeDelay, type HedgeCandidate} from './get_hedge_delay.js';
export {
  createRetryBudget,
  creditFirstAttempt,
  type RetryBudget,
  takeToken,
} from './retry_budget.js';
