import type {
  PullMessage,
  PushMessage,
  TeamUpdate,
} from './configuration_messages.js';

/** RPC calls of the configuration task to other instances; a failed call rejects. */
export interface ConfigurationPeers {
  /**
   * Sends a document to an instance, which forwards it to its subtree.
   * @param instanceId - Id of the receiver.
   * @param message - Document and ids of the instances in the receiver's subtree.
   */
  push(instanceId: string, message: PushMessage): Promise<void>;

  /**
   * Requests newer documents from an instance.
   * @param instanceId - Id of the instance.
   * @param message - Revisions in force at this instance.
   * @returns The documents that have a higher revision at the other instance.
   */
  pull(instanceId: string, message: PullMessage): Promise<TeamUpdate[]>;
}
