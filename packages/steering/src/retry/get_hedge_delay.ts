import {Priority, RequestClass} from '@primrosestage/common';

/** Describes a request whose first attempt has not returned a response yet. */
export interface HedgeCandidate {
  requestClass: RequestClass;
  priority: Priority;
  /** Whether the whole request body is buffered. */
  canResend: boolean;
  /** Remaining time of the request in milliseconds. */
  remainingMs: number;
  medianMs: number;
  /** 95th percentile of the service time in milliseconds; 0 if unknown. */
  p95Ms: number;
}

/**
 * Gets the time after which a hedged request may be sent.
 * @param candidate - The request.
 * @returns Milliseconds from the start of the first attempt, or undefined if no hedged
 *     request may be sent. After the delay it still needs a token of the retry budget.
 */
export function getHedgeDelay(candidate: HedgeCandidate): number | undefined {
  const {requestClass, priority, canResend, remainingMs, medianMs, p95Ms} =
    candidate;
  if (requestClass !== RequestClass.Idempotent || priority === Priority.Bulk) {
    return undefined;
  }
  if (!canResend || p95Ms <= 0) return undefined;
  return remainingMs - p95Ms < medianMs ? undefined : p95Ms;
}
