export {
  chooseOwner,
  type ChooseOwnerOptions,
  Locality,
  type OwnerCandidate,
} from './choose_owner.js';
export {Liveness} from './liveness.js';
export {OwnerLoads} from './owner_loads.js';
export type {
  Target,
  TargetRequest,
  TargetResult,
  TargetSelector,
} from './target_selector.js';
