import path from 'node:path';
import {
  DIRECT_SETTINGS_SCHEMA,
  DIRECT_STATE_SCHEMA,
  type DirectFileSettings,
  type DirectFileState,
} from './direct_settings_schema.js';
import {parseTomlFile} from './parse_toml_file.js';
import {SettingsError} from './settings_error.js';
import type {SettingsIssue} from './settings_issue.js';

/** Fields of an account whose values may be printed; any other value may hold a key. */
const PRINTED_ACCOUNT_FIELDS =
  /^accounts\.\d+\.(name|priority|ratePerSecond|burst|homeRegions)(\.|$)/;

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
 * @throws SettingsError with all issues that were found; its text holds no keys of accounts.
 */
export function loadDirectState(file: string): DirectFileState {
  try {
    return parseTomlFile(file, DIRECT_STATE_SCHEMA);
  } catch (err) {
    if (!(err instanceof SettingsError)) throw err;
    throw new SettingsError(file, err.issues.map(hideSecretValue));
  }
}

/**
 * Replaces a value that may hold the key of an account: those of accounts, and those of unknown
 * keys at the top level, which may be a misspelled `accounts`.
 */
function hideSecretValue(issue: SettingsIssue): SettingsIssue {
  const {key, value} = issue;
  const table = key.split('.')[0] ?? '';
  const isInAccount = table === 'accounts' && !PRINTED_ACCOUNT_FIELDS.test(key);
  const isUnknownTable = !Object.hasOwn(DIRECT_STATE_SCHEMA.shape, table);
  const isSecret = key !== '(file)' && (isInAccount || isUnknownTable);
  return isSecret && value !== 'nothing'
    ? {...issue, value: '(not printed)'}
    : issue;
}
