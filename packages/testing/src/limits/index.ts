export {
  findLimitExcesses,
  type LimitExcess,
  type StatedLimit,
} from './find_limit_excesses.js';
