export {chooseWatchers, WATCHERS_PER_ZONE} from './choose_watchers.js';
export {
  type AppliedDocument,
  ConfigurationSource,
  type ConfigurationState,
  type DocumentReceived,
  reduceConfiguration,
  type RevisionedDocument,
} from './reduce_configuration.js';
export {
  computeDigest,
  findNewerTeams,
  getRevisions,
  type Revisions,
} from './revisions.js';
export {splitSubtree, type Subtree, TREE_FAN_OUT} from './split_subtree.js';
