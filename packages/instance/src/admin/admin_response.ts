import {CommitOutcome, type CommitResult} from '@primrosestage/control';

/** Holds status and body of an answer. */
export interface AdminResponse {
  status: number;
  body: unknown;
}

/** Maps what became of a change to the HTTP status. */
const STATUS_BY_OUTCOME: Record<CommitOutcome, number> = {
  [CommitOutcome.Accepted]: 200,
  [CommitOutcome.Invalid]: 400,
  [CommitOutcome.Conflict]: 409,
  [CommitOutcome.NotMade]: 503,
  [CommitOutcome.Unknown]: 504,
};

/**
 * Creates the answer to a change.
 * @param changeId - Identifier under which the operator may repeat it.
 * @param result - What became of it.
 * @returns The answer.
 */
export function createChangeResponse(
  changeId: string,
  result: CommitResult,
): AdminResponse {
  const {outcome, revision, issues, message} = result;
  return {
    status: STATUS_BY_OUTCOME[outcome],
    body: {outcome, changeId, revision, issues, message},
  };
}
