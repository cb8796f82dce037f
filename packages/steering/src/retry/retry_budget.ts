/** Tokens credited per first attempt, so that extra attempts add at most a tenth of the offered load. */
const CREDIT_PER_FIRST_ATTEMPT = 0.1;
/** Maximum number of tokens; bounds the burst of extra attempts after a quiet period. */
const MAX_TOKENS = 10;

/** Bounds the retries and hedged requests of one service at one instance. */
export interface RetryBudget {
  readonly tokens: number;
}

/** Creates a full budget, so that a service with little traffic can retry from the start. */
export function createRetryBudget(): RetryBudget {
  return {tokens: MAX_TOKENS};
}

/**
 * Credits a first attempt.
 * @param budget - The budget so far.
 */
export function creditFirstAttempt(budget: RetryBudget): RetryBudget {
  return {
    tokens: Math.min(MAX_TOKENS, budget.tokens + CREDIT_PER_FIRST_ATTEMPT),
  };
}

/**
 * Takes a token for an extra attempt.
 * @param budget - The budget so far.
 * @returns The remaining budget, or undefined if it does not allow the attempt.
 */
export function takeToken(budget: RetryBudget): RetryBudget | undefined {
  return budget.tokens < 1 ? undefined : {tokens: budget.tokens - 1};
}
