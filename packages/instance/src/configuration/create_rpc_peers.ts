import type http from 'node:http';
import type {Topology} from '@primrosestage/steering';
import {createPeerClient} from '../rpc/index.js';
import {
  PULL_RESPONSE_SCHEMA,
  type PullMessage,
  type PushMessage,
} from './configuration_messages.js';
import type {ConfigurationPeers} from './configuration_peers.js';
import type {ConfigurationRouter} from './configuration_router.js';

/** Timeout of a call; pushing through the 3 levels of the tree must take less than 5 s. */
const CALL_TIMEOUT_MS = 800;

interface ConfigurationRpcClient {
  configuration: {
    push: {mutate(message: PushMessage): Promise<unknown>};
    pull: {query(message: PullMessage): Promise<unknown>};
  };
}

/** Configures RPC calls of the configuration task over the internal listeners. */
export interface RpcPeersOptions {
  topology: Topology;
  agent: http.Agent;
}

/**
 * Creates the RPC calls of the configuration task over the internal listeners.
 * @param options - Topology with the addresses, and connection pool.
 * @returns The calls.
 */
export function createRpcPeers(options: RpcPeersOptions): ConfigurationPeers {
  const getClient = (instanceId: string) =>
    createPeerClient<ConfigurationRouter>({
      address: options.topology.getInstanceOrThrow(instanceId).internalAddress,
      agent: options.agent,
      timeoutMs: CALL_TIMEOUT_MS,
    }) as unknown as ConfigurationRpcClient;
  return {
    push: async (instanceId, message) => {
      await getClient(instanceId).configuration.push.mutate(message);
    },
    pull: async (instanceId, message) =>
      PULL_RESPONSE_SCHEMA.parse(
        await getClient(instanceId).configuration.pull.query(message),
      ),
  };
}
