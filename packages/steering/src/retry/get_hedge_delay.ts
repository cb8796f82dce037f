import {Priority, RequestClass} from '@primrosestage/common';

/** Describes a request that waits for its first answer. */
export interface HedgeCandidate {
  requestClass: RequestClass;
  priority: Priority;
  /** Whether the whole body is at hand. */
  canResend: boolean;
  /** Time left for the request in milliseconds. */
  remainingMs: number;
  medianMs: number;
  /** 95th percentile of the service time in milliseconds; 0 where it is not known. */
  p95Ms: number;
}

/**
 * Gets the time after which a hedged request may be sent.
 * @param candidate - The request.
 * @returns Milliseconds from the start of the first attempt, or undefined where no hedged
 *     request may be sent; it still needs a token of the budget when its time comes.
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
