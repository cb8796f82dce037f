import {CommitOutcome, type CommitResult} from '@primrosestage/control';

/** Status and body of a response of the administration API. */
export interface AdminResponse {
  status: number;
  body: unknown;
}

/** HTTP status for each outcome of a change. */
const STATUS_BY_OUTCOME: Record<CommitOutcome, number> = {
  [CommitOutcome.Accepted]: 200,
  [CommitOutcome.Invalid]: 400,
  [CommitOutcome.Conflict]: 409,
  [CommitOutcome.NotApplied]: 503,
  [CommitOutcome.Unknown]: 504,
};

/**
 * Creates the response to a change.
 * @param changeId - Identifier that makes the change idempotent; the operator may retry with it.
 * @param result - Result of the commit.
 * @returns The response.
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
