export {type BackendFaults, NO_BACKEND_FAULTS} from './backend_faults.js';
export {BackendServer, type BackendServerOptions} from './backend_server.js';
export {createBody} from './create_body.js';
export {runBackendProcess} from './run_backend_process.js';
