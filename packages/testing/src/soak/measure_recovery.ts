import {type AttemptRecord, AttemptResult} from '../history/index.js';

const BUCKET_MS = 500;
/** Fraction of attempts that must be answered in two consecutive buckets. */
const HEALTHY_FRACTION = 0.95;
const MAX_BUCKETS = 40;

/**
 * Measures the time after the end of a fault until requests are answered again.
 * @param attempts - All attempts.
 * @param faultEndMs - Wall-clock time at which the fault ended, in milliseconds.
 * @returns Milliseconds, or undefined if it took more than 20 s or nothing was sent.
 */
export function measureRecovery(
  attempts: readonly AttemptRecord[],
  faultEndMs: number,
): number | undefined {
  const sent = new Array<number>(MAX_BUCKETS).fill(0);
  const answered = new Array<number>(MAX_BUCKETS).fill(0);
  for (const {startMs, result} of attempts) {
    const bucket = Math.floor((startMs - faultEndMs) / BUCKET_MS);
    if (bucket < 0 || bucket >= MAX_BUCKETS) continue;
    sent[bucket]!++;
    if (result === AttemptResult.Answered) answered[bucket]!++;
  }
  const isHealthy = (i: number) =>
    (sent[i] ?? 0) > 0 && answered[i]! >= HEALTHY_FRACTION * sent[i]!;
  const index = sent.findIndex((_, i) => isHealthy(i) && isHealthy(i + 1));
  return index < 0 ? undefined : index * BUCKET_MS;
}
