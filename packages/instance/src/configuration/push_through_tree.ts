import {splitSubtree} from '@primrosestage/steering';
import type {TeamUpdate} from './configuration_messages.js';
import type {ConfigurationPeers} from './configuration_peers.js';

/** Instances tried per subtree; if all fail, the subtree catches up through digests and pulls. */
const MAX_PUSH_CANDIDATES = 3;

/**
 * Pushes a document to instances through the dissemination tree.
 * @param peers - RPC calls to other instances.
 * @param update - The document.
 * @param ids - Ids of the instances below this one. If a child does not respond, the next instance
 *   of its subtree replaces it.
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
          // Instances that no push reaches pull the document after a digest mismatch.
        }
      }
    }),
  );
}
