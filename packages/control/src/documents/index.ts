export {
  applyChange,
  type ChangeContext,
  type ChangeResult,
  ChangeStatus,
  MAX_RECORDED_CHANGES,
} from './apply_change.js';
export {
  ChangeCommitter,
  type ChangeCommitterOptions,
  CommitOutcome,
  type CommitResult,
} from './change_committer.js';
export {checkPreset, type PresetCheck} from './check_preset.js';
export type {ConfigurationView} from './configuration_view.js';
export {
  createInitialDocument,
  type InitialPresets,
} from './create_initial_document.js';
export {diffPresets, type PresetDifference} from './diff_presets.js';
export {
  CHANGE_ACTION_SCHEMA,
  CHANGE_BASE_SCHEMA,
  type ChangeAction,
  ChangeKind,
  type DocumentChange,
  PRESET_NAME_SCHEMA,
} from './document_change.js';
export {DrainKind, type Drain} from './drain.js';
export {findPresetIssues} from './find_preset_issues.js';
export {parseTeamDocument, TEAM_KEY_PREFIX} from './parse_team_document.js';
export {type Preset, PRESET_SCHEMA} from './preset.js';
export {type TeamDocument, TEAM_DOCUMENT_SCHEMA} from './team_document.js';
