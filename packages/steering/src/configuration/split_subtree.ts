/** Children per node of the dissemination tree; 3 levels below the watcher reach 584 instances. */
export const TREE_FAN_OUT = 8;

/** Describes a child of a node in the dissemination tree and its subtree. */
export interface Subtree {
  /** The child that receives the document next. */
  head: string;
  /** The instances below the child, which it forwards to. */
  rest: string[];
}

/**
 * Splits the instances below a node of the dissemination tree among its children.
 * @param ids - The instances below the node.
 * @param fanOut - Maximum number of children per node.
 * @returns The children, with subtrees whose sizes differ by at most 1.
 */
export function splitSubtree(
  ids: readonly string[],
  fanOut = TREE_FAN_OUT,
): Subtree[] {
  const groups: string[][] = [];
  ids.forEach((id, i) => {
    const group = groups[i % fanOut];
    if (group) group.push(id);
    else groups.push([id]);
  });
  return groups.map(([head = '', ...rest]) => ({head, rest}));
}
