import type {
  PullMessage,
  PushMessage,
  TeamUpdate,
} from './configuration_messages.js';

/** Makes configuration calls to other instances; a failed call rejects. */
export interface ConfigurationPeers {
  /**
   * Gives a document to an instance, which forwards it to the rest.
   * @param instanceId - The receiver.
   * @param message - Document and the instances below the receiver.
   */
  push(instanceId: string, message: PushMessage): Promise<void>;

  /**
   * Asks an instance for newer documents.
   * @param instanceId - The instance asked.
   * @param message - Own revisions.
   * @returns The documents that are newer there.
   */
  pull(instanceId: string, message: PullMessage): Promise<TeamUpdate[]>;
}
