import {procedure, router} from '../rpc/index.js';
import {
  PULL_SCHEMA,
  type PullMessage,
  PUSH_SCHEMA,
  type PushMessage,
  type TeamUpdate,
} from './configuration_messages.js';

/** Handles the configuration calls of other instances. */
export interface ConfigurationHandlers {
  handlePush(message: PushMessage): void;
  handlePull(message: PullMessage): TeamUpdate[];
}

/**
 * Creates the RPC router of the configuration task.
 * @param handlers - Handlers of the calls.
 * @returns The router with the mutation `push` and the query `pull`.
 */
export function createConfigurationRouter(handlers: ConfigurationHandlers) {
  return router({
    push: procedure
      .input(PUSH_SCHEMA)
      .mutation(({input}) => handlers.handlePush(input)),
    pull: procedure
      .input(PULL_SCHEMA)
      .query(({input}) => handlers.handlePull(input)),
  });
}

/** Router type of the configuration task, for clients. */
export type ConfigurationRouter = ReturnType<typeof createConfigurationRouter>;
