export {isEndpointDrained} from './is_endpoint_drained.js';
export {OwnerTask, type OwnerTaskOptions} from './owner_task.js';
export type {LoadReport} from './probe_endpoint.js';
export {createGuardedOwnership} from './create_guarded_ownership.js';
