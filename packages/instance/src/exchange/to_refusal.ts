import {Outcome} from '@primrosestage/common';
import type {Refusal} from './attempt_result.js';
import {type ExchangeError, FailureKind} from './exchange.js';

/**
 * Describes a failed exchange to the caller.
 * @param err - The failure.
 * @returns `not-run` where no byte reached a connected peer, `unknown` otherwise.
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
