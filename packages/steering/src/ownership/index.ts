export {createHash64, type Hash64} from './create_hash64.js';
export {getCandidates} from './get_candidates.js';
