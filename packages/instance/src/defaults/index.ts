export {
  NearestTargetSelector,
  type NearestTargetSelectorOptions,
} from './nearest_target_selector.js';
export {SettingsConfiguration} from './settings_configuration.js';
export {StaticOwnership} from './static_ownership.js';
