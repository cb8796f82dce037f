import {Outcome} from '@primrosestage/common';
import type {Refusal} from './attempt_result.js';
import {type ExchangeError, FailureKind} from './exchange.js';

/**
 * Converts a failed exchange to a refusal.
 * @param err - The failure.
 * @returns The refusal; `not-run` if no connection was established, `unknown` otherwise.
 */
export function toRefusal(err: ExchangeError): Refusal {
  return {
    outcome: err.mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
    status: err.mayHaveRun
      ? err.kind === FailureKind.Deadline
        ? 504
        : 502
      : 503,
    step: err.step,
    peer: err.peer,
    message: err.message,
  };
}
