/** Memory of a header field beside its characters, with its copy for the next hop, in bytes. */
const FIELD_MEMORY_BYTES = 256;
/** How often the characters of a head are held: as received, and as they are sent on. */
const CHARACTER_COPIES = 2;
/** Memory of a head that is not counted, since the limits on requests allow for it, in bytes. */
const UNCOUNTED_BYTES = 16 * 1024;

/**
 * Returns the memory of a head beyond what each request may use. A short field takes far more memory
 * than it has bytes, so that a limit on the bytes alone would not limit the memory.
 * @param fields - Number of header fields.
 * @param characters - Number of characters of their names and values.
 * @returns Bytes.
 */
export function getHeadMemory(fields: number, characters: number): number {
  const bytes = fields * FIELD_MEMORY_BYTES + characters * CHARACTER_COPIES;
  return Math.max(0, bytes - UNCOUNTED_BYTES);
}

/**
 * Returns the memory of a head that has arrived whole, beyond what each request may use.
 * @param rawHeaders - Alternating header names and values.
 * @returns Bytes.
 */
export function getReceivedHeadMemory(rawHeaders: readonly string[]): number {
  let characters = 0;
  for (const {length} of rawHeaders) characters += length;
  return getHeadMemory(rawHeaders.length / 2, characters);
}
