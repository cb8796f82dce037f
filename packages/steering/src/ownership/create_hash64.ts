import xxhash from 'xxhash-wasm';

/** Hashes a string to 64 bits. */
export type Hash64 = (text: string) => bigint;

/**
 * Creates the hash function for rendezvous scores.
 * @returns The function; the same input gives the same score on every instance.
 */
export async function createHash64(): Promise<Hash64> {
  const {h64} = await xxhash();
  return text => h64(text);
}
