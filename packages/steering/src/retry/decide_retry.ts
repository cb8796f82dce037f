import {RequestClass} from '@primrosestage/common';
import {type RetryBudget, takeToken} from './retry_budget.js';

/** Most attempts of one request at one instance. */
const MAX_ATTEMPTS = 4;

/** Describes an attempt that did not give an answer. */
export interface FailedAttempt {
  requestClass: RequestClass;
  /** Whether this or an earlier attempt may have run at a backend server. */
  mayHaveRun: boolean;
  /** Whether the body is still complete, or was never read. */
  canResend: boolean;
  /** Attempts made so far. */
  attempts: number;
  /** Time left for the request in milliseconds. */
  remainingMs: number;
  /** Median service time in milliseconds; 0 where it is not known. */
  medianMs: number;
}

/** Names why a request is not sent again; `None` where it is. */
export enum RetryObstacle {
  None = 'none',
  MayHaveRun = 'may-have-run',
  BodySent = 'body-sent',
  Attempts = 'attempts',
  Deadline = 'deadline',
  Budget = 'budget',
}

/** Holds the decision and the budget left. */
export interface RetryDecision {
  readonly obstacle: RetryObstacle;
  readonly budget: RetryBudget;
}

/**
 * Decides whether a request is sent again.
 * @param attempt - The failed attempt.
 * @param budget - The service's budget.
 * @returns The obstacle, if any, and the budget, less a token where the request is sent again.
 */
export function decideRetry(
  attempt: FailedAttempt,
  budget: RetryBudget,
): RetryDecision {
  const obstacle = getObstacle(attempt);
  if (obstacle !== RetryObstacle.None) return {obstacle, budget};
  const remainingBudget = takeToken(budget);
  return remainingBudget
    ? {obstacle: RetryObstacle.None, budget: remainingBudget}
    : {obstacle: RetryObstacle.Budget, budget};
}

function getObstacle(attempt: FailedAttempt): RetryObstacle {
  const {requestClass, mayHaveRun, remainingMs, medianMs} = attempt;
  if (mayHaveRun && requestClass === RequestClass.NonIdempotent) {
    return RetryObstacle.MayHaveRun;
  }
  if (!attempt.canResend) return RetryObstacle.BodySent;
  if (attempt.attempts >= MAX_ATTEMPTS) return RetryObstacle.Attempts;
  if (remainingMs <= 0 || remainingMs < medianMs) return RetryObstacle.Deadline;
  return RetryObstacle.None;
}
