/**
 * Calls a function when a stream of chunks has ended, failed or been abandoned by its reader.
 * @param chunks - The chunks.
 * @param onEnd - Receives the reason if the stream is incomplete, or undefined if it is complete.
 * @returns The same chunks.
 */
export async function* notifyOnEnd(
  chunks: AsyncIterable<Buffer>,
  onEnd: (message?: string) => void,
): AsyncGenerator<Buffer> {
  let message: string | undefined = 'cancelled';
  try {
    yield* chunks;
    message = undefined;
  } catch (err) {
    message = err instanceof Error ? err.message : String(err);
    throw err;
  } finally {
    onEnd(message);
  }
}
