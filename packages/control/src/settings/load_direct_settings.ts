import path from 'node:path';
import {
  DIRECT_SETTINGS_SCHEMA,
  DIRECT_STATE_SCHEMA,
  type DirectFileSettings,
  type DirectFileState,
} from './direct_settings_schema.js';
import {parseTomlFile} from './parse_toml_file.js';
import {SettingsError} from './settings_error.js';

/**
 * Loads and checks the settings of an instance that sends requests directly to endpoints.
 * @param file - Path of the TOML file.
 * @returns The settings, with the absolute path of the state file.
 * @throws SettingsError with all issues that were found.
 */
export function loadDirectSettings(file: string): DirectFileSettings {
  const settings = parseTomlFile(file, DIRECT_SETTINGS_SCHEMA);
  if (settings.zones[settings.zone] === undefined) {
    const expected = 'a zone listed under zones';
    const value = JSON.stringify(settings.zone);
    throw new SettingsError(file, [{file, key: 'zone', value, expected}]);
  }
  return {
    ...settings,
    state: path.resolve(path.dirname(file), settings.state),
  };
}

/**
 * Loads and checks routes, services, endpoints and evacuations.
 * @param file - Path of the TOML file.
 * @throws SettingsError with all issues that were found.
 */
export function loadDirectState(file: string): DirectFileState {
  return parseTomlFile(file, DIRECT_STATE_SCHEMA);
}
