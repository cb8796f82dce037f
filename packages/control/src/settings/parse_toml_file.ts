import {readFileSync} from 'node:fs';
import {getErrorMessage} from '@primrosestage/common';
import {parse, TomlError} from 'smol-toml';
import type {z} from 'zod';
import {convertSchemaIssues} from '../validation/index.js';
import {SettingsError} from './settings_error.js';
import type {SettingsIssue} from './settings_issue.js';

/**
 * Reads a TOML file and checks it against a schema.
 * @param file - Path of the file.
 * @param schema - Schema of its content.
 * @returns The checked content.
 * @throws SettingsError with all issues that were found.
 */
export function parseTomlFile<S extends z.ZodType>(
  file: string,
  schema: S,
): z.infer<S> {
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
