/** Names a member that is told of news and how many members behind it that one tells in turn. */
export interface BroadcastBranch {
  /** Distance along the ring from the member that sends. */
  offset: number;
  /** Members that follow the receiver on the ring and hear of the news through it. */
  reach: number;
}

/**
 * Divides the members that follow one on a ring into the branches of a binomial tree. All hear of
 * news once, after a number of steps that grows with the logarithm of their number, and no member
 * sends more messages than that.
 * @param reach - Number of members to tell, which follow the sender on the ring.
 */
export function splitReach(reach: number): BroadcastBranch[] {
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
 * Draws items without repetition.
 * @param items - The items.
 * @param count - Most items to draw.
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
