import {readFileSync} from 'node:fs';
import path from 'node:path';
import {getErrorMessage} from '@primrosestage/common';
import {parse, TomlError} from 'smol-toml';
import type {z} from 'zod';
import {convertSchemaIssues} from '../validation/index.js';
import {findSystemIssues} from './find_system_issues.js';
import {SettingsError} from './settings_error.js';
import type {SettingsIssue} from './settings_issue.js';
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
 * @throws SettingsError with all faults that were found.
 */
export function loadSettings(file: string): LoadedSettings {
  const instance = parseFile(file, INSTANCE_SETTINGS_SCHEMA);
  const systemFile = path.resolve(path.dirname(file), instance.system);
  const system = parseFile(systemFile, SYSTEM_SETTINGS_SCHEMA);
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

function parseFile<S extends z.ZodType>(file: string, schema: S): z.infer<S> {
  const data = readToml(file);
  const result = schema.safeParse(data);
  if (result.success) return result.data;
  throw new SettingsError(
    file,
    convertSchemaIssues(data, result.error).map(issue => ({file, ...issue})),
  );
}

function readToml(file: string): unknown {
  try {
    return parse(readFileSync(file, 'utf8'));
  } catch (err) {
    const issue: SettingsIssue = {
      file,
      key: '(file)',
      value: JSON.stringify(getErrorMessage(err).split('\n')[0]),
      expected: 'a readable TOML file',
    };
    if (err instanceof TomlError) issue.line = err.line;
    throw new SettingsError(file, [issue]);
  }
}
