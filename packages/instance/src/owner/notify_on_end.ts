/**
 * Calls a function when a stream of chunks has ended, failed or was given up.
 * @param chunks - The chunks.
 * @param onEnd - Takes why the stream did not end whole, or undefined where it did.
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
