/**
 * Largest ratio of a sample that counts to the average, and of the average to a sample. Three in
 * 100 requests take seven times as long as the others.
 */
const MAX_RATIO = 2;

/**
 * Moves an average towards a sample. A sample far from the average counts only as a bounded one, so
 * that a single slow response has a small effect, while several in a row still move the average.
 * @param average - Present average, above 0.
 * @param sample - The sample, above 0.
 * @param weight - Weight of the sample.
 * @returns The new average.
 */
export function updateRobustAverage(
  average: number,
  sample: number,
  weight: number,
): number {
  const bounded = Math.min(
    average * MAX_RATIO,
    Math.max(average / MAX_RATIO, sample),
  );
  return average + weight * (bounded - average);
}
