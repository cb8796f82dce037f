export type {
  Target,
  TargetRequest,
  TargetResult,
  TargetSelector,
} from './target_selector.js';
