import type {EndpointChange} from '@primrosestage/steering';
import type {GossipChanges} from './gossip_message.js';

/** Most characters of changes in a datagram, so that few networks divide it. */
const MAX_PART_CHARS = 1_000;
/** Most datagrams for one set of changes; receivers ask for larger sets. */
const MAX_PARTS = 8;

/**
 * Divides changes into parts that fit into datagrams. Each part follows on the one before, so
 * that a receiver that misses one notices at the next.
 * @param changes - The changes.
 * @returns The parts; one without changes where they are too many.
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
    // Changes of one revision stay together, so that a revision tells what a receiver lacks.
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
