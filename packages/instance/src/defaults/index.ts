export {SettingsConfiguration} from './settings_configuration.js';
export {StaticOwnership} from './static_ownership.js';
