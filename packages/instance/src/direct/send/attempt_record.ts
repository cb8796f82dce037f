import type {AttemptResult} from './attempt.js';
import type {ConnectionUse} from './endpoint_agent.js';
import type {LimitRecord} from '../limits/limit_record.js';
import type {OpenAttempt} from './start_attempt.js';

/** Describes one attempt in the log line of its request; one without a connection has no use of it. */
export interface AttemptRecord extends Partial<ConnectionUse> {
  endpoint: string;
  /** Revision of the endpoint's entry and its age in milliseconds. */
  revision: number;
  entryAgeMs: number;
  /** Estimated queue depth of the endpoint when the request was sent. */
  depth: number;
  /** What was known of the endpoint's rate limit when the request was sent. */
  limit?: LimitRecord;
  outcome: string;
  reason: string;
  ms: number;
}

/** How an attempt ended, or `open` if it has not ended. */
export interface AttemptEnd extends Pick<AttemptResult, 'reason'> {
  outcome: string;
}

/**
 * Describes an attempt for the log.
 * @param open - The attempt.
 * @param end - How it ended.
 * @param ms - Its duration in milliseconds.
 */
export function createAttemptRecord(
  {endpoint, attempt, startedAt, depth, limit}: OpenAttempt,
  {outcome, reason}: AttemptEnd,
  ms: number,
): AttemptRecord {
  return {
    endpoint: endpoint.entry.id,
    revision: endpoint.revision,
    entryAgeMs: Math.round(startedAt - endpoint.learnedAt),
    depth: Math.round(depth * 10) / 10,
    limit,
    outcome,
    reason,
    ...attempt.getConnectionUse(),
    ms: Math.round(ms),
  };
}
