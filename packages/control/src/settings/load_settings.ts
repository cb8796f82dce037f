import path from 'node:path';
import {findSystemIssues} from './find_system_issues.js';
import {parseTomlFile} from './parse_toml_file.js';
import {SettingsError} from './settings_error.js';
import {
  type InstanceSettings,
  type SystemSettings,
  INSTANCE_SETTINGS_SCHEMA,
  SYSTEM_SETTINGS_SCHEMA,
} from './settings_schema.js';

/** Holds the checked settings of an instance and of its system. */
export interface LoadedSettings {
  instance: InstanceSettings;
  system: SystemSettings;
}

/**
 * Loads and checks the settings of an instance.
 * @param file - Path of the instance's TOML file.
 * @returns The settings.
 * @throws SettingsError with all issues that were found.
 */
export function loadSettings(file: string): LoadedSettings {
  const instance = parseTomlFile(file, INSTANCE_SETTINGS_SCHEMA);
  const systemFile = path.resolve(path.dirname(file), instance.system);
  const system = parseTomlFile(systemFile, SYSTEM_SETTINGS_SCHEMA);
  const issues = findSystemIssues(systemFile, system);
  if (!system.instances.some(({id}) => id === instance.id)) {
    issues.push({
      file,
      key: 'id',
      value: JSON.stringify(instance.id),
      expected: `an id listed under instances in ${systemFile}`,
    });
  }
  if (issues.length > 0) throw new SettingsError(file, issues);
  return {instance, system};
}
