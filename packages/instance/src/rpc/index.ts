export {
  createPeerClient,
  type PeerClientOptions,
} from './create_peer_client.js';
export {createRpcHandler, RPC_PATH} from './create_rpc_handler.js';
export {procedure, router} from './trpc.js';
