import type {ValueIssue} from '../validation/index.js';

/** Describes one fault of a settings file. */
export interface SettingsIssue extends ValueIssue {
  file: string;
  /** Line of a syntax error, counted from 1. */
  line?: number;
}

/**
 * Formats a fault for a person.
 * @param issue - The fault.
 * @returns One line with file, key or line, value and what was expected.
 */
export function formatSettingsIssue(issue: SettingsIssue): string {
  const position = issue.line === undefined ? '' : `:${issue.line}`;
  return `${issue.file}${position}: ${issue.key}: found ${issue.value}, expected ${issue.expected}`;
}
