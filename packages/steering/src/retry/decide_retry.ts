import {RequestClass} from '@primrosestage/common';
import {type RetryBudget, takeToken} from './retry_budget.js';

/** Maximum number of attempts of one request at one instance. */
const MAX_ATTEMPTS = 4;

/** Describes an attempt that returned no response. */
export interface FailedAttempt {
  requestClass: RequestClass;
  /** Whether this or an earlier attempt may have run at a backend server. */
  mayHaveRun: boolean;
  /** Whether the whole request body is still available, or was never read. */
  canResend: boolean;
  /** Attempts made so far. */
  attempts: number;
  /** Remaining time of the request in milliseconds. */
  remainingMs: number;
  /** Median service time in milliseconds; 0 if unknown. */
  medianMs: number;
}

/** Identifies why a request is not retried; `None` if it is. */
export enum RetryObstacle {
  None = 'none',
  MayHaveRun = 'may-have-run',
  BodySent = 'body-sent',
  Attempts = 'attempts',
  Deadline = 'deadline',
  Budget = 'budget',
}

/** Holds the decision and the remaining budget. */
export interface RetryDecision {
  readonly obstacle: RetryObstacle;
  readonly budget: RetryBudget;
}

/**
 * Decides whether a request is retried.
 * @param attempt - The failed attempt.
 * @param budget - The service's budget.
 * @returns The obstacle, if any, and the budget, less a token if the request is retried.
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
