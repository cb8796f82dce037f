const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const TWO_TO_32 = 0x1_0000_0000;

/**
 * Hashes a string to 32 bits by FNV-1a with the finalizer of MurmurHash3. The result is the same
 * on every instance.
 * @param text - String to hash.
 */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return mix(hash);
}

/**
 * Combines two hashes into a fraction.
 * @param a - First hash.
 * @param b - Second hash.
 * @returns A uniformly distributed number in (0, 1).
 */
export function combineToFraction(a: number, b: number): number {
  const mixed = mix(Math.imul(a, 0x9e3779b1) ^ b);
  return (mixed + 0.5) / TWO_TO_32;
}

function mix(hash: number): number {
  let h = hash;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
