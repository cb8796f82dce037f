export {createHash64, type Hash64} from './create_hash64.js';
export type {EndpointOwnership} from './endpoint_ownership.js';
export {getCandidates} from './get_candidates.js';
