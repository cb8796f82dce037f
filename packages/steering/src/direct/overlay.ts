/** Branch of a broadcast tree: a receiver and the members to which it forwards the message. */
export interface BroadcastBranch {
  /** Distance of the receiver from the sender along the ring. */
  offset: number;
  /** Number of members after the receiver on the ring that get the message through it. */
  reach: number;
}

/**
 * Divides the members after the sender on a ring into the branches of a binomial broadcast tree.
 * Each member receives the message once. The number of hops and the number of messages that a
 * member sends grow with the logarithm of the number of members.
 * @param reach - Number of members to reach, which follow the sender on the ring.
 */
export function splitBroadcast(reach: number): BroadcastBranch[] {
  const branches: BroadcastBranch[] = [];
  let remaining = reach;
  while (remaining > 0) {
    const offset = Math.ceil(remaining / 2);
    branches.push({offset, reach: remaining - offset});
    remaining = offset - 1;
  }
  return branches;
}

/**
 * Draws random items without replacement.
 * @param items - Items to draw from.
 * @param count - Maximum number of items to draw.
 * @param random - Returns a random number in [0, 1).
 */
export function pickRandom<T>(
  items: readonly T[],
  count: number,
  random: () => number,
): T[] {
  const remaining = [...items];
  const picked: T[] = [];
  while (picked.length < count && remaining.length > 0) {
    const index = Math.floor(random() * remaining.length);
    picked.push(...remaining.splice(index, 1));
  }
  return picked;
}
