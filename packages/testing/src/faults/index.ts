export {PartitionKind, FaultConnector} from './fault_connector.js';
export {FaultSocket} from './fault_socket.js';
export {runInstanceProcess} from './run_instance_process.js';
