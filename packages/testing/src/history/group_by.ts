/**
 * Groups the elements of a list; Node.js 20 has no `Map.groupBy`.
 * @param list - The elements.
 * @param getKey - Gets the group of an element.
 * @returns The groups, in order of their first elements.
 */
export function groupBy<T>(
  list: readonly T[],
  getKey: (element: T) => string,
): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const element of list) {
    const key = getKey(element);
    const group = groups.get(key);
    if (group) group.push(element);
    else groups.set(key, [element]);
  }
  return groups;
}
