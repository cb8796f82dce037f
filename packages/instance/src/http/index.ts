export {listen, type Listener, type ListenOptions} from './listen.js';
export {parseAddress, type HostPort} from './parse_address.js';
export {sendHop, type HopOptions, type HopResult} from './send_hop.js';
export {sendJson} from './send_json.js';
export {sendRefusal, type RefusalOptions} from './send_refusal.js';
