export {type ConnectFunction, type ConnectTarget} from './connect_function.js';
export {connectTcp} from './connect_tcp.js';
export {GuardedAgent} from './guarded_agent.js';
export {createAgent, type CreateAgentOptions} from './create_agent.js';
