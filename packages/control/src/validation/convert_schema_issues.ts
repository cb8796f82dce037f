import type {z} from 'zod';
import {describeValue} from './describe_value.js';
import type {ValueIssue} from './value_issue.js';

/** Expected values of keys with a unit, by the suffix of the key. */
const UNITS: ReadonlyArray<readonly [string, string]> = [
  ['Ms', 'a whole number of milliseconds, without a unit'],
  ['Seconds', 'a whole number of seconds, without a unit'],
  ['Mbit', 'a number of Mbit/s, without a unit'],
];

/**
 * Converts the issues that a schema found.
 * @param data - The data that was checked.
 * @param error - The schema's error.
 * @returns One issue per key; each unknown key is reported separately.
 */
export function convertSchemaIssues(
  data: unknown,
  error: z.ZodError,
): ValueIssue[] {
  return error.issues.flatMap(issue => {
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map(key => ({
        key: formatPath([...issue.path, key]),
        value: describeValue(getValue(data, [...issue.path, key])),
        expected: 'no such key; it is unknown here',
      }));
    }
    const value = getValue(data, issue.path);
    const unit = isNonInteger(value) ? getUnit(issue.path) : undefined;
    return [
      {
        key: formatPath(issue.path),
        value: describeValue(value),
        expected: unit ?? formatExpectation(issue.message),
      },
    ];
  });
}

function formatPath(path: readonly PropertyKey[]): string {
  return path.map(String).join('.') || '(top level)';
}

function getValue(data: unknown, path: readonly PropertyKey[]): unknown {
  let value = data;
  for (const key of path) {
    value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
  }
  return value;
}

function isNonInteger(value: unknown): boolean {
  return value !== undefined && !Number.isInteger(value);
}

function getUnit(path: readonly PropertyKey[]): string | undefined {
  const name = path.at(-2) === 'linkCaps' ? 'Mbit' : String(path.at(-1));
  return UNITS.find(([ending]) => name.endsWith(ending))?.[1];
}

function formatExpectation(message: string): string {
  return message.replace(/^(Invalid \w+|Too small|Too big): expected /, '');
}
