export type {Endpoint} from './endpoint.js';
export {getServiceKey} from './get_service_key.js';
export type {InstanceInfo} from './instance_info.js';
export type {Link} from './link.js';
export type {Service} from './service.js';
export {Topology, type TopologyOptions} from './topology.js';
export type {Zone} from './zone.js';
