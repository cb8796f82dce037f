export {main} from './cli/main.js';
export {serve} from './serve.js';
