export {chooseWatchers, MAX_WATCHERS} from './choose_watchers.js';
export {
  type AppliedDocument,
  ConfigurationSource,
  type ConfigurationState,
  type DocumentReceived,
  reduceConfiguration,
  type RevisedDocument,
} from './reduce_configuration.js';
export {
  computeDigest,
  findNewerTeams,
  getRevisions,
  type Revisions,
} from './revisions.js';
export {splitSubtree, type Subtree, TREE_FAN_OUT} from './split_subtree.js';
