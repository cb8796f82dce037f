import type {ValueIssue} from '../validation/index.js';

/** Describes one issue of a settings file. */
export interface SettingsIssue extends ValueIssue {
  file: string;
  /** Line of a syntax error, counted from 1. */
  line?: number;
}

/**
 * Formats an issue as readable text.
 * @param issue - The issue.
 * @returns One line with the file, the line if known, the key, the value and the expected value.
 */
export function formatSettingsIssue(issue: SettingsIssue): string {
  const position = issue.line === undefined ? '' : `:${issue.line}`;
  return `${issue.file}${position}: ${issue.key}: found ${issue.value}, expected ${issue.expected}`;
}
