export {type ConnectFunction, type ConnectTarget} from './connect_function.js';
export {connectTcp} from './connect_tcp.js';
export {createAgent, type CreateAgentOptions} from './create_agent.js';
