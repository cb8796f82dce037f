export type {ConfigurationPeers} from './configuration_peers.js';
export {
  type ConfigurationStatus,
  ConfigurationTask,
  type ConfigurationTaskOptions,
} from './configuration_task.js';
export type {ConfigurationRouter} from './configuration_router.js';
export {createRpcPeers, type RpcPeersOptions} from './create_rpc_peers.js';
export {registerConfigurationMetrics} from './register_configuration_metrics.js';
