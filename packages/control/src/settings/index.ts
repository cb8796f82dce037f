export {buildTopology} from './build_topology.js';
export {loadSettings, type LoadedSettings} from './load_settings.js';
export {formatSettingsIssue, type SettingsIssue} from './settings_issue.js';
export {SettingsError} from './settings_error.js';
export {
  type InstanceSettings,
  type SystemSettings,
  INSTANCE_SETTINGS_SCHEMA,
  SYSTEM_SETTINGS_SCHEMA,
} from './settings_schema.js';
export {
  type DirectFileSettings,
  type DirectFileState,
} from './direct_settings_schema.js';
export {buildRouteConfiguration} from './build_route_configuration.js';
export {loadDirectSettings, loadDirectState} from './load_direct_settings.js';
