export type {ConfigurationView} from './configuration_view.js';
export {DrainKind, type Drain} from './drain.js';
export {type Preset, PRESET_SCHEMA} from './preset.js';
export {type TeamDocument, TEAM_DOCUMENT_SCHEMA} from './team_document.js';
