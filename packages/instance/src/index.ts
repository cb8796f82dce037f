export {main} from './cli/main.js';
export {serve} from './serve.js';
export {RoutingTask, type RoutingTaskOptions} from './routing/index.js';
