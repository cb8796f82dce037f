import type {EndpointChange} from '@primrosestage/steering';
import type {GossipChanges} from './gossip_message.js';

/** Limit on the characters of changes in a datagram, so that few networks fragment it. */
const MAX_PART_CHARS = 1_000;
/** Limit on the datagrams for one set of changes; receivers pull larger sets. */
const MAX_PARTS = 8;

/**
 * Splits changes into parts that fit into datagrams. Each part starts from the last revision of
 * the previous one, so that a receiver that misses one detects the gap at the next.
 * @param changes - The changes.
 * @returns The parts; a single undefined if there are too many or the changes are a full state.
 */
export function splitChanges(
  changes: GossipChanges,
): Array<GossipChanges | undefined> {
  const {since, revision, isFull, evacuations} = changes;
  if (isFull) return [undefined];
  const parts: GossipChanges[] = [];
  let part: GossipChanges = {...changes, endpoints: []};
  let chars = JSON.stringify(evacuations).length;
  let lastRevision = since;
  for (const endpoint of sortByRevision(changes.endpoints)) {
    const length = JSON.stringify(endpoint).length;
    // Changes of one revision share a part, so that a receiver's revision tells what it lacks.
    const startsRevision =
      endpoint.revision > lastRevision && part.endpoints.length > 0;
    if (startsRevision && chars + length > MAX_PART_CHARS) {
      part.revision = lastRevision;
      parts.push(part);
      part = {...changes, since: lastRevision, evacuations: [], endpoints: []};
      chars = 0;
    }
    part.endpoints.push(endpoint);
    lastRevision = endpoint.revision;
    chars += length;
  }
  part.revision = revision;
  parts.push(part);
  return parts.length > MAX_PARTS ? [undefined] : parts;
}

function sortByRevision(changes: readonly EndpointChange[]): EndpointChange[] {
  return [...changes].sort((a, b) => a.revision - b.revision);
}
