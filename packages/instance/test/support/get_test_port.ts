/**
 * Gets a port that no other test process uses: several checkouts run the same tests at a time.
 * @param offset - Number of the port within the process, 0 to 9.
 */
export function getTestPort(offset: number): number {
  return 10_000 + (process.pid % 5_000) * 10 + offset;
}
