export {
  startBackendServer,
  type BackendServerOptions,
} from './standins/backend_server.js';
