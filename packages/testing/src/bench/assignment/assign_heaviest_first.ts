/** Describes an item to be assigned to a bin. */
export interface WeightedItem {
  id: string;
  weight: number;
}

/**
 * Assigns items to bins in order of decreasing weight, each to the least loaded bin.
 * @param items - The items.
 * @param bins - Names of the bins.
 * @returns The bin of each item by its ID.
 */
export function assignHeaviestFirst(
  items: readonly WeightedItem[],
  bins: readonly string[],
): Map<string, string> {
  const loadByBin = new Map(bins.map(bin => [bin, 0]));
  const sorted = [...items].sort((a, b) => b.weight - a.weight);
  return new Map(
    sorted.map(({id, weight}) => {
      const [bin, sum] = [...loadByBin].reduce((leastLoaded, entry) =>
        entry[1] < leastLoaded[1] ? entry : leastLoaded,
      );
      loadByBin.set(bin, sum + weight);
      return [id, bin];
    }),
  );
}
