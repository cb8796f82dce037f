/**
 * Returns the message of a caught value.
 * @param err - The caught value, an error or anything else.
 * @returns The message for a log line.
 */
export function getErrorMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
