export {type ConnectFunction, type ConnectTarget} from './connect_function.js';
export {connectTcp} from './connect_tcp.js';
export {GuardedAgent} from './guarded_agent.js';
export {
  createHttpServer,
  hasAllFields,
  MAX_HEAD_BYTES,
  MAX_HEAD_FIELDS,
  startHttpRequest,
} from './http_heads.js';
export {createAgent, type CreateAgentOptions} from './create_agent.js';
