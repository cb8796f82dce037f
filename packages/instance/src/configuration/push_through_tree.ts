import {splitSubtree} from '@primrosestage/steering';
import type {TeamUpdate} from './configuration_messages.js';
import type {ConfigurationPeers} from './configuration_peers.js';

/** Heads tried per subtree before it is left to the digests. */
const MAX_PUSH_CANDIDATES = 3;

/**
 * Pushes a document to instances through the dissemination tree.
 * @param peers - Makes the calls.
 * @param update - The document.
 * @param ids - The instances below this one; a child that does not answer is replaced by the next of its subtree.
 */
export async function pushThroughTree(
  peers: ConfigurationPeers,
  update: TeamUpdate,
  ids: readonly string[],
): Promise<void> {
  await Promise.all(
    splitSubtree(ids).map(async ({head, rest}) => {
      const candidates = [head, ...rest];
      for (
        let i = 0;
        i < Math.min(MAX_PUSH_CANDIDATES, candidates.length);
        i++
      ) {
        try {
          await peers.push(candidates[i]!, {
            ...update,
            rest: candidates.slice(i + 1),
          });
          return;
        } catch {
          // The digests bring the document to an instance that no push reached.
        }
      }
    }),
  );
}
