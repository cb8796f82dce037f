export {listInstances, runStoreProcess} from './run_store_process.js';
export {
  NO_STORE_FAULTS,
  type StoreFaults,
  StoreOutage,
} from './store_faults.js';
export {StoreServer, type StoreServerOptions} from './store_server.js';
